package review;

import com.fasterxml.jackson.databind.JsonNode;
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
import java.util.concurrent.atomic.AtomicInteger;

/** An engine of a service: serves plain requests and streams, and registers itself in the store. */
final class Engine implements AutoCloseable {

    /** A run of a request. */
    record Run(int number, String engine, String request, long startedAt, long after) {}

    /** The requests that are at an engine now, with the numbers of their runs. */
    static final Map<Integer, String> RUNNING = new java.util.concurrent.ConcurrentHashMap<>();

    private static final AtomicInteger RUNS = new AtomicInteger();
    static final List<Run> ALL_RUNS = Collections.synchronizedList(new ArrayList<>());
    static volatile int events = 20;
    static volatile int eventMillis = 50;
    static volatile int workMillis = 35;
    static volatile boolean recorded = true;

    final String id;
    private final String service;
    private final Store store;
    private final Http.Server server;
    private final int slots;
    private final AtomicInteger running = new AtomicInteger();
    private volatile long version = 1;
    private volatile String state = "ready";
    private volatile boolean closed;
    private int sequence;
    private int orders;

    Engine(String id, String service, Store store, int slots) throws IOException {
        this.id = id;
        this.service = service;
        this.store = store;
        this.slots = slots;
        server = new Http.Server(0, this::handle);
        register();
        Http.start("heartbeat-" + id, this::beat);
    }

    synchronized void register() {
        ObjectNode entry = Store.MAPPER.createObjectNode();
        entry.put("service", service).put("address", server.address()).put("zone", "zone-a").put("version", "v1");
        entry.put("slots", slots).put("state", state).put("cold-left-ms", 0).put("stage", "both");
        entry.putArray("models").addObject().put("name", "m").put("version", version).putArray("adapters");
        entry.put("seq", sequence++);
        store.put("servers", id, entry);
    }

    @Override
    public void close() {
        closed = true;
        server.close();
    }

    private void beat() {
        while (!closed) {
            try {
                Thread.sleep(1200);
            } catch (InterruptedException exception) {
                return;
            }
            if (!closed) {
                register();
            }
        }
    }

    private boolean handle(Http.Request request, OutputStream output, Socket socket)
            throws IOException, InterruptedException {
        if (request.path().equals("/v1/report")) {
            ObjectNode report = Store.MAPPER.createObjectNode().put("stage", "both");
            report.putArray("models").addObject().put("name", "m").put("version", version).putArray("adapters");
            report.put("busy", false).put("seq", orders).put("num-waiting", 0).put("num-running", running.get());
            report.put("kv-used", 0).put("kv-total", 38812).put("handles", 0);
            Http.respond(output, 200, Map.of("Content-Type", "application/json"), Store.MAPPER.writeValueAsBytes(report));
            return true;
        }
        if (request.path().equals("/v1/order")) {
            return order(request, output);
        }
        if (!request.header("x-expect-instance").isEmpty() && !request.header("x-expect-instance").equals(id)) {
            Http.respond(output, 421, Map.of("X-Instance-Id", id), new byte[0]);
            return true;
        }
        String requestId = request.header("x-request-id");
        if (running.incrementAndGet() > slots + 24) {
            running.decrementAndGet();
            Http.respond(output, 503, Map.of("X-Request-Id", requestId, "X-Not-Executed", "1"), new byte[0]);
            return true;
        }
        try {
            String last = request.header("last-event-id");
            long after = last.isEmpty() ? 0 : Long.parseLong(last);
            Run run = new Run(RUNS.incrementAndGet(), id, requestId, System.nanoTime(), after);
            ALL_RUNS.add(run);
            RUNNING.put(run.number(), requestId);
            if (recorded) {
                Record.write("engine " + id + " runs " + requestId + " path " + request.path() + " as run " + run.number()
                    + " after event " + after + " body " + request.body().length + " bytes");
            }
            if (request.path().startsWith("/rollouts/")) {
                try {
                    return stream(run, output);
                } finally {
                    RUNNING.remove(run.number());
                }
            }
            RUNNING.remove(run.number());
            Thread.sleep(workMillis);
            Http.respond(
                    output,
                    200,
                    Map.of(
                            "X-Request-Id", requestId,
                            "X-Server-Seal", "seal-" + run.number(),
                            "X-Server-Load", running.get() + ",0," + slots,
                            "X-Weight-Versions", Long.toString(version)),
                    ("answer to " + requestId + " of " + service).getBytes(StandardCharsets.UTF_8));
            return true;
        } finally {
            running.decrementAndGet();
        }
    }

    /** The data of each event states its number and the run that made it. */
    private boolean stream(Run run, OutputStream output) throws IOException, InterruptedException {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Content-Type", "text/event-stream");
        headers.put("Transfer-Encoding", "chunked");
        headers.put("X-Request-Id", run.request());
        headers.put("X-Server-Seal", "seal-" + run.number());
        headers.put("X-Weight-Versions", Long.toString(version));
        StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        output.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
        long last = version;
        for (long event = run.after() + 1; event <= events; event++) {
            Thread.sleep(eventMillis);
            String line = version == last ? "" : "x-weight-versions: " + version + "\n";
            last = version;
            chunk(output, "id: " + event + "\n" + line + "data: " + event + "/" + run.number() + "/" + last + "\n\n");
        }
        output.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
        return true;
    }

    private static void chunk(OutputStream output, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        byte[] head = (Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[head.length + bytes.length + 2];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(bytes, 0, all, head.length, bytes.length);
        all[all.length - 2] = '\r';
        all[all.length - 1] = '\n';
        output.write(all);
        output.flush();
    }

    private synchronized boolean order(Http.Request request, OutputStream output) throws IOException {
        JsonNode order = Store.MAPPER.readTree(request.body());
        Record.write("engine " + id + " gets order " + order);
        int status = order.path("expected").asInt(orders) != orders
                ? 409
                : order.path("version").asLong() <= version ? 200 : 202;
        if (status == 202) {
            orders++;
            version = order.path("version").asLong();
        }
        Http.respond(output, status, Map.of(), new byte[0]);
        if (status == 202) {
            register();
        }
        return true;
    }
}
