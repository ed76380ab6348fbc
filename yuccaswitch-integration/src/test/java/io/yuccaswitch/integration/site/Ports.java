package io.yuccaswitch.integration.site;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Reserves ports that a process may take again after a restart. They lie below the range from which the operating
 * system takes ports for outgoing connections.
 */
final class Ports {

    private static final int LOWEST = 12_000;

    private static final int HIGHEST = 31_000;

    private static final AtomicInteger NEXT =
            new AtomicInteger(ThreadLocalRandom.current().nextInt(LOWEST, HIGHEST));

    private Ports() {}

    static int reserve() {
        while (true) {
            int port = NEXT.updateAndGet(last -> last >= HIGHEST ? LOWEST : last + 1);
            if (free(port)) {
                return port;
            }
        }
    }

    private static boolean free(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException _exception) {
            return false;
        }
    }
}
