import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** An engine: answers requests, runs items as streams of events, carries out orders, and registers itself. */
final class Engine {
    private static final AtomicInteger IDS = new AtomicInteger();

    /** A request that began to run. */
    record Run(long at, String id, String method, String target, int bodySize, Map<String, String> headers) {}

    final String id = "i-" + Integer.toHexString(0x10000000 + IDS.incrementAndGet());
    final String service;
    final Wire.Server server;
    final List<Run> runs = new ArrayList<>();
    /** The end of the latest run of each item, in milliseconds since the epoch, or Long.MAX_VALUE while it runs. */
    final Map<String, Long> ends = new java.util.concurrent.ConcurrentHashMap<>();
    private final Site site;
    private final String model;
    private final int slots;
    private volatile long version = 1;
    private volatile boolean busy;
    private volatile int sequence;
    private volatile int beats;
    /** The duration of one event of a stream, in milliseconds. */
    volatile int eventMillis = 40;
    /** The number of events of a stream. */
    volatile int events = 10;
    /** The duration of a plain request that states none, in milliseconds. */
    volatile int workMillis = 30;

    Engine(Site site, String service, String model, int slots) throws Exception {
        this.site = site;
        this.service = service;
        this.model = model;
        this.slots = slots;
        server = new Wire.Server("engine", this::handle);
        Wire.thread("engine-beat", () -> {
            while (true) {
                beat();
                Thread.sleep(1200);
            }
        });
    }

    String address() {
        return server.address;
    }

    private void beat() {
        beats++;
        Map<String, Object> entry = Json.map(
                "service", service,
                "address", address(),
                "zone", "zone-a",
                "version", "v1",
                "slots", slots,
                "state", "ready",
                "cold-left-ms", 0,
                "seq", beats);
        if (model != null) {
            entry.put("stage", "both");
            entry.put("models", List.of(Json.map("name", model, "version", version, "adapters", List.of())));
        }
        site.store.put("servers", id, entry);
    }

    private boolean handle(Wire.Message request, Socket connection, OutputStream out) throws Exception {
        String instance = "X-Instance-Id: " + id + "\r\n";
        String expected = request.header("x-expect-instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            Wire.answer(out, 421, instance, new byte[0]);
            return true;
        }
        if (request.path().equals("/health")) {
            Wire.answer(out, 200, instance, new byte[0]);
            return true;
        }
        if (request.path().equals("/v1/report")) {
            Map<String, Object> report = Json.map(
                    "stage", "both",
                    "models",
                            model == null
                                    ? List.of()
                                    : List.of(Json.map("name", model, "version", version, "adapters", List.of())),
                    "busy", busy,
                    "seq", sequence,
                    "num-waiting", 0,
                    "num-running", 0,
                    "kv-used", 0,
                    "kv-total", 38812,
                    "handles", 0);
            Wire.answer(
                    out,
                    200,
                    instance + "Content-Type: application/json\r\n",
                    Json.write(report).getBytes(StandardCharsets.UTF_8));
            return true;
        }
        if (request.path().equals("/v1/order")) {
            order(Json.object(Json.read(request.text())));
            Wire.answer(out, 202, instance, new byte[0]);
            return true;
        }
        run(request, connection, out);
        return true;
    }

    private void order(Map<String, Object> order) {
        sequence++;
        busy = true;
        Wire.thread("load", () -> {
            Thread.sleep(900);
            version = (Long) order.get("version");
            busy = false;
            beat();
        });
    }

    private void run(Wire.Message request, Socket connection, OutputStream out) throws Exception {
        String requestId = request.header("x-request-id");
        long began = System.currentTimeMillis();
        synchronized (runs) {
            runs.add(new Run(began, requestId, request.method(), request.target(), request.body.length, request.headers));
        }
        site.record("engine " + id + " runs " + requestId + " " + request.method() + " " + request.target() + " body "
                + request.body.length);
        String head = "X-Request-Id: " + requestId + "\r\nX-Server-Seal: seal." + id + "." + requestId
                + "\r\nX-Server-Load: 1,0," + slots + "\r\n";
        if (model == null) {
            String stated = request.query("ms");
            int millis = stated == null ? workMillis : Integer.parseInt(stated);
            if (!work(connection, millis)) {
                site.record("engine " + id + " " + requestId + " stopped: its connection was closed after "
                        + (System.currentTimeMillis() - began) + " ms");
                throw new java.io.IOException("closed");
            }
            Wire.answer(out, 200, head, ("answer to " + requestId).getBytes(StandardCharsets.UTF_8));
            site.record("engine " + id + " answered " + requestId + " after " + (System.currentTimeMillis() - began)
                    + " ms");
            return;
        }
        ends.put(requestId, Long.MAX_VALUE);
        try {
            stream(request, head, out);
        } finally {
            ends.put(requestId, System.currentTimeMillis());
        }
    }

    /** Works on a request, and stops when its connection is closed. */
    private static boolean work(Socket connection, int millis) throws Exception {
        long end = System.nanoTime() + millis * 1_000_000L;
        InputStream in = connection.getInputStream();
        while (true) {
            long left = (end - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                connection.setSoTimeout(0);
                return true;
            }
            connection.setSoTimeout((int) Math.max(1, left));
            try {
                if (in.read() < 0) {
                    return false;
                }
            } catch (java.net.SocketTimeoutException timeout) {
                // The connection is still open.
            }
        }
    }

    private void stream(Wire.Message request, String head, OutputStream out) throws Exception {
        String requestId = request.header("x-request-id");
        String last = request.header("last-event-id");
        int next = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
        out.write(("HTTP/1.1 200 OK\r\n" + head + "X-Weight-Versions: " + version
                        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
        for (; next <= events; next++) {
            Thread.sleep(eventMillis);
            byte[] event = ("id: " + next + "\ndata: piece " + next + " of " + requestId + "\n\n")
                    .getBytes(StandardCharsets.UTF_8);
            out.write((Integer.toHexString(event.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.write(event);
            out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
        site.record("engine " + id + " finished " + requestId);
    }

    /** Returns the number of items that run. */
    long running() {
        return ends.values().stream().filter(end -> end == Long.MAX_VALUE).count();
    }

    /** Returns the runs of a request. */
    long runsOf(String requestId) {
        synchronized (runs) {
            return runs.stream().filter(run -> run.id.equals(requestId)).count();
        }
    }
}
