package io.yuccaswitch.integration.site;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Reserves ports that a process can bind again after a restart. They are below the range from which the operating
 * system allocates ports for outgoing connections.
 */
final class Ports {

    private static final int MINIMUM_PORT = 12_000;

    private static final int MAXIMUM_PORT = 31_000;

    private static final AtomicInteger NEXT =
            new AtomicInteger(ThreadLocalRandom.current().nextInt(MINIMUM_PORT, MAXIMUM_PORT));

    private Ports() {}

    static int reserve() {
        while (true) {
            int port = NEXT.updateAndGet(last -> last >= MAXIMUM_PORT ? MINIMUM_PORT : last + 1);
            if (isFree(port)) {
                return port;
            }
        }
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException _exception) {
            return false;
        }
    }
}
