import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A model engine as the users' pages describe it: it processes some requests concurrently, queues a few more and
 * rejects the rest, serves streams of events that can be resumed, and drops a request whose connection closes.
 */
final class ModelEngine implements AutoCloseable {

    /** A request that came in. */
    record Arrival(double at, String id, String engine, String outcome, int after) {}

    private static final int QUEUE = 2;

    final String id;
    final int slots;
    private final String service;
    private final Wire.Server server;
    private final Consumer<String> record;
    private final List<Arrival> arrivals = Collections.synchronizedList(new ArrayList<>());
    private final Object lock = new Object();
    private final List<Object> queue = new ArrayList<>();
    private final java.util.Set<Socket> connections = java.util.concurrent.ConcurrentHashMap.newKeySet();
    private int running;
    private int sequence;

    ModelEngine(String id, String service, int slots, Consumer<String> record) throws IOException {
        this.id = id;
        this.service = service;
        this.slots = slots;
        this.record = record;
        server = new Wire.Server(this::handle);
    }

    ObjectNode entry() {
        ObjectNode entry = Wire.JSON.createObjectNode();
        entry.put("service", service).put("address", server.address()).put("zone", "zone-a").put("version", "v1");
        entry.put("slots", slots).put("state", "ready").put("cold-left-ms", 0).put("stage", "both").put("seq", sequence);
        entry.putArray("models").addObject().put("name", "m").put("version", 1).putArray("adapters");
        return entry;
    }

    List<Arrival> arrivals() {
        synchronized (arrivals) {
            return List.copyOf(arrivals);
        }
    }

    int load() {
        synchronized (lock) {
            return running + queue.size();
        }
    }

    /** Ends as a crashed process does: nothing listens any more, and all connections are reset. */
    void crash() throws IOException {
        server.close();
        for (Socket socket : connections) {
            if (!socket.isClosed()) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    private boolean handle(Wire.Request request, Socket socket, OutputStream output) throws Exception {
        if (request.path().equals("/v1/report")) {
            ObjectNode report = Wire.JSON.createObjectNode();
            report.put("stage", "both").put("busy", false).put("seq", sequence);
            report.putArray("models").addObject().put("name", "m").put("version", 1).putArray("adapters");
            Wire.json(output, 200, report);
            return true;
        }
        if (request.path().equals("/health")) {
            Wire.answer(output, 200, Map.of("X-Instance-Id", id, "X-Server-Load", loadHeader()), new byte[0]);
            return true;
        }
        connections.add(socket);
        String requestId = request.header("X-Request-Id");
        String after = request.header("Last-Event-Id");
        int resumed = after == null ? 0 : Integer.parseInt(after);
        if (!id.equals(request.header("X-Expect-Instance"))) {
            Wire.answer(output, 421, Map.of("X-Instance-Id", id), new byte[0]);
            return true;
        }
        Object ticket = new Object();
        boolean rejected;
        synchronized (lock) {
            rejected = running >= slots && queue.size() >= QUEUE;
            if (!rejected && running < slots && queue.isEmpty()) {
                running++;
            } else if (!rejected) {
                queue.add(ticket);
            }
        }
        arrive(requestId, rejected ? "rejected as full" : "accepted", resumed);
        if (rejected) {
            Wire.answer(
                    output,
                    503,
                    Map.of("X-Not-Executed", "1", "X-Request-Id", requestId, "X-Server-Load", loadHeader()),
                    new byte[0]);
            return true;
        }
        if (!awaitSlot(ticket, socket)) {
            arrive(requestId, "left the queue, its connection was closed", resumed);
            return false;
        }
        try {
            arrive(requestId, "began", resumed);
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("X-Request-Id", requestId);
            headers.put("X-Server-Seal", "seal-" + id + "-" + requestId);
            if (!request.path().startsWith("/rollouts/")) {
                Thread.sleep(Long.parseLong(new String(request.body(), StandardCharsets.UTF_8)));
                headers.put("X-Server-Load", loadHeader());
                Wire.answer(output, 200, headers, ("answer to " + requestId).getBytes(StandardCharsets.UTF_8));
            } else {
                headers.put("X-Weight-Versions", "1");
                headers.put("X-Server-Load", loadHeader());
                stream(request, output, headers, resumed);
            }
            arrive(requestId, "done", resumed);
        } catch (IOException exception) {
            arrive(requestId, "dropped, its connection was closed", resumed);
            throw exception;
        } finally {
            synchronized (lock) {
                running--;
                lock.notifyAll();
            }
        }
        return true;
    }

    /** Waits for a slot. A request whose connection closes meanwhile is dropped. */
    private boolean awaitSlot(Object ticket, Socket socket) throws Exception {
        synchronized (lock) {
            while (queue.contains(ticket)) {
                if (running < slots && queue.get(0) == ticket) {
                    queue.remove(ticket);
                    running++;
                    return true;
                }
                lock.wait(20);
                if (isClosed(socket)) {
                    queue.remove(ticket);
                    lock.notifyAll();
                    return false;
                }
            }
            return true;
        }
    }

    private static boolean isClosed(Socket socket) throws IOException {
        socket.setSoTimeout(1);
        try {
            return socket.getInputStream().read() < 0;
        } catch (java.net.SocketTimeoutException waiting) {
            return false;
        } finally {
            if (!socket.isClosed()) {
                socket.setSoTimeout(0);
            }
        }
    }

    private void stream(Wire.Request request, OutputStream output, Map<String, String> headers, int after)
            throws Exception {
        String[] plan = new String(request.body(), StandardCharsets.UTF_8).split(" ");
        int events = Integer.parseInt(plan[0]);
        long pause = Long.parseLong(plan[1]);
        StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        output.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
        for (int event = after + 1; event <= events; event++) {
            String text = "id: " + event + "\ndata: e" + event + "\n\n";
            output.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.US_ASCII));
            output.flush();
            Thread.sleep(pause);
        }
        output.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        output.flush();
    }

    private String loadHeader() {
        synchronized (lock) {
            return running + "," + queue.size() + "," + slots;
        }
    }

    private void arrive(String requestId, String outcome, int after) {
        Arrival arrival = new Arrival(Clock.seconds(), requestId, id, outcome, after);
        arrivals.add(arrival);
        record.accept(id + " " + requestId + (after > 0 ? " after event " + after : "") + ": " + outcome);
    }
}
