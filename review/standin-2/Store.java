import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store, as PROTOCOL.md describes it. */
final class Store {
    private record Event(long revision, String kind, Map<String, Object> object, boolean deleted) {}

    private final TreeMap<String, Map<String, Object>> objects = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private long revision = 100;
    final Wire.Server server;

    Store() throws Exception {
        server = new Wire.Server("store", this::handle);
    }

    String address() {
        return server.address;
    }

    /** Writes the content of an object, as the operator, an engine or a trainer does. */
    synchronized long put(String kind, String name, Object spec) {
        return store(kind, name, "spec", spec);
    }

    synchronized void remove(String kind, String name) {
        Map<String, Object> object = objects.remove(kind + "/" + name);
        if (object != null) {
            events.add(new Event(++revision, kind, object, true));
            notifyAll();
        }
    }

    synchronized Map<String, Object> find(String kind, String name) {
        return objects.get(kind + "/" + name);
    }

    /** Returns the objects of a kind. */
    synchronized List<Map<String, Object>> list(String kind) {
        return new ArrayList<>(objects.subMap(kind + "/", kind + "0").values());
    }

    private long store(String kind, String name, String field, Object content) {
        Map<String, Object> before = objects.get(kind + "/" + name);
        revision++;
        Object created = before == null
                ? revision
                : Json.object(before.get("metadata")).get("create-revision");
        Map<String, Object> object = Json.map(
                "metadata",
                Json.map(
                        "name", name,
                        "revision", revision,
                        "create-revision", created,
                        "finalizers", List.of(),
                        "deleting", false),
                "spec", before == null ? null : before.get("spec"),
                "status", before == null ? null : before.get("status"));
        object.put(field, content);
        objects.put(kind + "/" + name, object);
        events.add(new Event(revision, kind, object, false));
        notifyAll();
        return revision;
    }

    private boolean handle(Wire.Message request, Socket connection, OutputStream out) throws Exception {
        String[] path = request.path().split("/");
        if (path.length < 4 || !request.path().startsWith("/v1/objects/")) {
            Wire.json(out, 404, Json.map());
            return true;
        }
        String kind = path[3];
        String name = path.length > 4 ? path[4] : "";
        Thread.sleep(4);
        switch (request.method()) {
            case "GET" -> {
                if (!name.isEmpty()) {
                    Map<String, Object> found = find(kind, name);
                    Wire.json(out, found == null ? 404 : 200, found == null ? Json.map() : found);
                } else if (request.query("watch") != null) {
                    watch(request, kind, out);
                } else {
                    page(request, kind, out);
                }
            }
            case "POST", "PUT" -> change(request, kind, name, path.length > 5, out);
            case "DELETE" -> {
                remove(kind, name);
                Wire.json(out, 200, Json.map());
            }
            default -> Wire.json(out, 400, Json.map());
        }
        return true;
    }

    private void page(Wire.Message request, String kind, OutputStream out) throws Exception {
        String after = request.query("after");
        List<Object> items = new ArrayList<>();
        long now;
        synchronized (this) {
            for (Map<String, Object> object : list(kind)) {
                String name = (String) Json.object(object.get("metadata")).get("name");
                if (after == null || name.compareTo(after) > 0) {
                    items.add(object);
                }
            }
            now = revision;
        }
        Wire.json(out, 200, Json.map("items", items, "more-pages", false, "current-rev", now));
    }

    private void watch(Wire.Message request, String kind, OutputStream out) throws Exception {
        long from = Long.parseLong(request.query("watch"));
        long end = System.currentTimeMillis() + Long.parseLong(request.query("wait-ms"));
        List<Object> found = new ArrayList<>();
        long now;
        synchronized (this) {
            while (true) {
                for (Event event : events) {
                    if (event.revision > from && event.kind.equals(kind)) {
                        found.add(Json.map("object", event.object, "deleted", event.deleted));
                    }
                }
                long left = end - System.currentTimeMillis();
                if (!found.isEmpty() || left <= 0) {
                    break;
                }
                wait(left);
            }
            now = revision;
        }
        Wire.json(out, 200, Json.map("events", found, "current-rev", now));
    }

    private void change(Wire.Message request, String kind, String pathName, boolean status, OutputStream out)
            throws Exception {
        Map<String, Object> body = Json.object(Json.read(request.text()));
        Map<String, Object> metadata = Json.object(body.get("metadata"));
        boolean creates = request.method().equals("POST");
        String name = creates ? (String) metadata.get("name") : pathName;
        int code = 200;
        Map<String, Object> answer;
        synchronized (this) {
            Map<String, Object> before = find(kind, name);
            Object expected = metadata.get("revision");
            if (creates && before != null) {
                code = 409;
                answer = before;
            } else if (!creates && before == null) {
                code = 404;
                answer = Json.map();
            } else if (!creates
                    && expected != null
                    && !expected.equals(Json.object(before.get("metadata")).get("revision"))) {
                code = 409;
                answer = before;
            } else {
                String field = status ? "status" : "spec";
                store(kind, name, field, body.get(field));
                answer = find(kind, name);
            }
        }
        Wire.json(out, code, answer);
    }
}
