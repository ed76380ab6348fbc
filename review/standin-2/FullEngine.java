import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A model engine with a bounded queue: it processes some requests concurrently, queues a few more and rejects the rest as
 * not executed. It drops a request whose connection closes, and it can crash.
 */
final class FullEngine {
    private static final AtomicInteger IDS = new AtomicInteger();

    /** How often a waiting request's connection is checked, in milliseconds. */
    private static final long CHECK_MILLIS = 20;

    /** What happened to a request. */
    enum Stage {
        REJECTED,
        QUEUED,
        BEGAN,
        FINISHED,
        DROPPED
    }

    /** A change of the stage of a request. */
    record Change(long at, String id, Stage stage) {}

    final String id = "i-f" + Integer.toHexString(0x1000000 + IDS.incrementAndGet());
    final int slots;
    final Wire.Server server;
    private final Site site;
    private final String service;
    private final String model;
    private final int places;
    private final List<Change> changes = new ArrayList<>();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final List<Object> queue = new ArrayList<>();
    private int running;
    private int beats;
    private volatile boolean crashed;

    /** Creates an engine with a number of slots and of places in its queue. */
    FullEngine(Site site, String service, String model, int slots, int places) throws Exception {
        this.site = site;
        this.service = service;
        this.model = model;
        this.slots = slots;
        this.places = places;
        server = new Wire.Server("engine", this::handle);
        Wire.thread("engine-beat", () -> {
            while (!crashed) {
                beat();
                Thread.sleep(1200);
            }
        });
    }

    private synchronized void beat() {
        if (crashed) {
            return;
        }
        beats++;
        site.store.put(
                "servers",
                id,
                Json.map(
                        "service", service,
                        "address", server.address,
                        "zone", "zone-a",
                        "version", "v1",
                        "slots", slots,
                        "state", "ready",
                        "cold-left-ms", 0,
                        "stage", "both",
                        "models", models(),
                        "seq", beats));
    }

    private List<Object> models() {
        return List.of(Json.map("name", model, "version", 1, "adapters", List.of()));
    }

    /** Crashes: nothing listens any more, and its entry is removed after three heartbeat intervals. */
    void crash() throws Exception {
        synchronized (this) {
            crashed = true;
        }
        server.close();
        for (Socket connection : connections) {
            connection.close();
        }
        Wire.thread("engine-expiry", () -> {
            Thread.sleep(3600);
            site.store.remove("servers", id);
        });
    }

    private boolean handle(Wire.Message request, Socket connection, OutputStream out) throws Exception {
        connections.add(connection);
        String instance = "X-Instance-Id: " + id + "\r\n";
        if (request.path().equals("/v1/report")) {
            Wire.json(out, 200, Json.map("stage", "both", "models", models(), "busy", false, "seq", 0, "handles", 0));
            return true;
        }
        if (request.path().equals("/health")) {
            Wire.answer(out, 200, instance + load(), new byte[0]);
            return true;
        }
        if (!request.header("x-expect-instance").equals(id)) {
            Wire.answer(out, 421, instance, new byte[0]);
            return true;
        }
        String requestId = request.header("x-request-id");
        Object ticket = new Object();
        if (!admit(ticket)) {
            change(requestId, Stage.REJECTED);
            Wire.answer(out, 503, "X-Not-Executed: 1\r\nX-Request-Id: " + requestId + "\r\n" + load(), new byte[0]);
            return true;
        }
        change(requestId, Stage.QUEUED);
        if (!awaitSlot(ticket, connection)) {
            change(requestId, Stage.DROPPED);
            return false;
        }
        change(requestId, Stage.BEGAN);
        boolean finished = false;
        try {
            run(request, requestId, out);
            finished = true;
        } finally {
            change(requestId, finished ? Stage.FINISHED : Stage.DROPPED);
            synchronized (queue) {
                running--;
                queue.notifyAll();
            }
        }
        return true;
    }

    private boolean admit(Object ticket) {
        synchronized (queue) {
            boolean isFree = running < slots && queue.isEmpty();
            if (!isFree && queue.size() >= places) {
                return false;
            }
            queue.add(ticket);
            return true;
        }
    }

    /** Waits for a slot; returns false if the connection was closed meanwhile. */
    private boolean awaitSlot(Object ticket, Socket connection) throws Exception {
        synchronized (queue) {
            while (running >= slots || queue.get(0) != ticket) {
                queue.wait(CHECK_MILLIS);
                if (isClosed(connection)) {
                    queue.remove(ticket);
                    queue.notifyAll();
                    return false;
                }
            }
            queue.remove(ticket);
            running++;
            return true;
        }
    }

    private static boolean isClosed(Socket connection) {
        try {
            connection.setSoTimeout(1);
            boolean ended = connection.getInputStream().read() < 0;
            connection.setSoTimeout(0);
            return ended;
        } catch (java.net.SocketTimeoutException open) {
            return false;
        } catch (IOException closed) {
            return true;
        }
    }

    /** Runs a request: a plain one for the milliseconds of its query, an item as a stream of its events. */
    private void run(Wire.Message request, String requestId, OutputStream out) throws Exception {
        String head = "X-Request-Id: " + requestId + "\r\nX-Server-Seal: seal." + id + "." + requestId + "\r\n";
        String millis = request.query("ms");
        if (millis != null) {
            Thread.sleep(Long.parseLong(millis));
            Wire.answer(out, 200, head + load(), ("answer to " + requestId).getBytes(StandardCharsets.UTF_8));
            return;
        }
        Map<String, Object> plan = Json.object(Json.read(request.text()));
        String last = request.header("last-event-id");
        write(
                out,
                "HTTP/1.1 200 OK\r\n" + head + load()
                        + "X-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (long next = last.isEmpty() ? 1 : Long.parseLong(last) + 1; next <= (Long) plan.get("events"); next++) {
            Thread.sleep((Long) plan.get("millis"));
            String event = "id: " + next + "\ndata: piece " + next + " of " + requestId + "\n\n";
            write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
        }
        write(out, "0\r\n\r\n");
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    private String load() {
        synchronized (queue) {
            return "X-Server-Load: " + running + "," + queue.size() + "," + slots + "\r\n";
        }
    }

    private void change(String requestId, Stage stage) {
        synchronized (changes) {
            changes.add(new Change(System.currentTimeMillis(), requestId, stage));
        }
        site.record("engine " + id + " " + requestId + " " + stage);
    }

    /** Returns what happened to the items, in order. */
    List<Change> changes() {
        synchronized (changes) {
            return List.copyOf(changes);
        }
    }

    /** Returns the number of requests that run or wait. */
    int held() {
        synchronized (queue) {
            return running + queue.size();
        }
    }

    /** Returns whether all slots and places are taken. */
    boolean isFull() {
        synchronized (queue) {
            return running >= slots && !queue.isEmpty();
        }
    }
}
