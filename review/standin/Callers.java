package review;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients of a plain route, as PROTOCOL.md describes them: they ask a directory for addresses, keep the answer for its
 * ttl or three times as long, keep connections open, and retry a safe request on a new connection.
 */
final class Callers {

    /** An attempt that ended without a complete answer. */
    record Broken(
            String id, String entry, long sentAt, long endedAt, boolean kept, boolean connected, String reason) {}

    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final int TIMEOUT_MILLIS = 3000;
    /** The clients reuse connections that have been idle for up to four fifths of idle-timeout-ms. */
    private static final long REUSE_NANOS = 12 * NANOS_PER_SECOND;

    final List<Broken> broken = Collections.synchronizedList(new ArrayList<>());
    final AtomicInteger answered = new AtomicInteger();
    final AtomicInteger refused = new AtomicInteger();
    final AtomicInteger failed = new AtomicInteger();
    private final Site site;
    private final String path;
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean stopped;

    Callers(Site site, String path) {
        this.site = site;
        this.path = path;
    }

    void start(int clients, double secondsBetween) {
        for (int i = 0; i < clients; i++) {
            Client client = new Client(i, secondsBetween);
            Thread thread = new Thread(client::run, "client-" + i);
            thread.setDaemon(true);
            thread.start();
            threads.add(thread);
        }
    }

    void stop() throws InterruptedException {
        stopped = true;
        for (Thread thread : threads) {
            thread.join(8000);
        }
    }

    private static final class Connection {
        private final String entry;
        private final Socket socket;
        private final InputStream input;
        private long idleSince;

        private Connection(String entry) throws IOException {
            this.entry = entry;
            socket = new Socket();
            socket.connect(
                    new InetSocketAddress(
                            InetAddress.getByName("127.0.0.1"),
                            Integer.parseInt(entry.substring(entry.indexOf(':') + 1))),
                    1000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(TIMEOUT_MILLIS + 500);
            input = new BufferedInputStream(socket.getInputStream());
        }

        /** Returns whether the peer has closed the idle connection. */
        private boolean isClosedByPeer() {
            try {
                socket.setSoTimeout(1);
                input.mark(1);
                return input.read() < 0;
            } catch (SocketTimeoutException exception) {
                return false;
            } catch (IOException exception) {
                return true;
            } finally {
                restoreTimeout();
            }
        }

        private void restoreTimeout() {
            try {
                socket.setSoTimeout(TIMEOUT_MILLIS + 500);
            } catch (IOException exception) {
                // The next call on the socket fails as well.
            }
        }
    }

    private final class Client {
        private final int number;
        private final double secondsBetween;
        private final Random random;
        private final long keepFactor;
        private final Map<String, Connection> open = new HashMap<>();
        private List<String> addresses = List.of();
        private final Set<String> failing = new HashSet<>();
        private long validUntil = System.nanoTime();
        private int requests;

        private Client(int number, double secondsBetween) {
            this.number = number;
            this.secondsBetween = secondsBetween;
            random = new Random(number * 7919L + System.nanoTime());
            keepFactor = number % 2 == 0 ? 3 : 1;
        }

        private void run() {
            try {
                Thread.sleep((long) (random.nextDouble() * secondsBetween * 1000));
                while (!stopped) {
                    request();
                    Thread.sleep((long) (-Math.log(1 - random.nextDouble()) * secondsBetween * 1000));
                }
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
            open.values().forEach(connection -> Http.closeQuietly(connection.socket));
        }

        private void request() throws InterruptedException {
            requests++;
            for (int attempt = 0; attempt < 2; attempt++) {
                resolveIfDue();
                if (addresses.isEmpty()) {
                    return;
                }
                List<String> usable = new ArrayList<>(addresses);
                usable.removeAll(failing);
                List<String> choice = usable.isEmpty() ? addresses : usable;
                String entry = choice.get(random.nextInt(choice.size()));
                if (send(entry, "c" + number + "-" + requests + "-" + attempt, attempt > 0)) {
                    return;
                }
                failing.add(entry);
            }
            failed.incrementAndGet();
        }

        /** Asks up to three directories, the nearest first, and allows one second for each. */
        private void resolveIfDue() {
            if (System.nanoTime() < validUntil) {
                return;
            }
            List<Gateways.Gateway> directories = new ArrayList<>(site.gateways.all);
            Collections.rotate(directories, number);
            for (Gateways.Gateway directory : directories.subList(0, 3)) {
                Http.Answer answer = Http.call(
                        directory.directory,
                        "GET",
                        "/v1/resolve?name=" + Site.HOST + "&region=region-a&zone=zone-a",
                        Map.of("Host", "directory"),
                        new byte[0],
                        1000);
                List<String> found = new ArrayList<>();
                long ttl = 1;
                if (answer != null && answer.status() == 200) {
                    try {
                        JsonNode document = Store.MAPPER.readTree(answer.body());
                        document.path("addresses").forEach(address -> found.add(address.asText()));
                        ttl = Math.min(5, document.path("ttl-s").asLong(1));
                    } catch (IOException exception) {
                        continue;
                    }
                }
                if (!found.isEmpty()) {
                    addresses = found;
                    failing.clear();
                    validUntil = System.nanoTime() + ttl * keepFactor * NANOS_PER_SECOND;
                    dropConnectionsToOthers();
                    return;
                }
            }
        }

        private void dropConnectionsToOthers() {
            for (Iterator<Connection> each = open.values().iterator(); each.hasNext(); ) {
                Connection connection = each.next();
                if (!addresses.contains(connection.entry)) {
                    Http.closeQuietly(connection.socket);
                    each.remove();
                }
            }
        }

        /** Makes one attempt. Returns whether it needs no further one. */
        private boolean send(String entry, String id, boolean onNewConnection) {
            Connection kept = onNewConnection ? null : open.remove(entry);
            if (kept != null && (System.nanoTime() - kept.idleSince > REUSE_NANOS || kept.isClosedByPeer())) {
                Http.closeQuietly(kept.socket);
                kept = null;
            }
            Connection connection = kept;
            long sentAt = System.nanoTime();
            boolean sent = false;
            try {
                if (connection == null) {
                    connection = new Connection(entry);
                }
                sentAt = System.nanoTime();
                OutputStream output = connection.socket.getOutputStream();
                output.write(Site.bytes("POST " + path + " HTTP/1.1\r\nHost: " + Site.HOST + "\r\nX-Request-Id: " + id
                        + "\r\nX-Timeout-Ms: " + TIMEOUT_MILLIS + "\r\nContent-Length: 5\r\n\r\nhello"));
                output.flush();
                sent = true;
                Http.Answer answer = Http.readAnswer(connection.input);
                if (answer.header("connection").equalsIgnoreCase("close")) {
                    Http.closeQuietly(connection.socket);
                } else {
                    connection.idleSince = System.nanoTime();
                    open.put(entry, connection);
                }
                boolean success = answer.status() == 200 && !answer.header("x-server-seal").isEmpty();
                (success ? answered : refused).incrementAndGet();
                return success;
            } catch (IOException exception) {
                if (connection != null) {
                    Http.closeQuietly(connection.socket);
                }
                broken.add(new Broken(
                        id, entry, sentAt, System.nanoTime(), kept != null, sent, exception.toString()));
                return false;
            }
        }
    }
}
