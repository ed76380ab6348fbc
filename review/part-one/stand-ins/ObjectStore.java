import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** The platform's store: objects with revisions, conditional calls and watches. */
final class ObjectStore implements AutoCloseable {

    private final TreeMap<String, ObjectNode> objects = new TreeMap<>();
    private final List<ObjectNode> events = new ArrayList<>();
    private final Wire.Server server;
    private long revision = 100;

    ObjectStore() throws IOException {
        server = new Wire.Server(this::handle);
    }

    String address() {
        return server.address();
    }

    synchronized void put(String kind, String name, JsonNode spec) {
        store(kind, name, "spec", spec);
    }

    synchronized void remove(String kind, String name) {
        ObjectNode removed = objects.remove(kind + "/" + name);
        if (removed != null) {
            revision++;
            event(kind, removed, true);
        }
    }

    synchronized JsonNode find(String kind, String name) {
        ObjectNode found = objects.get(kind + "/" + name);
        return found == null ? Wire.JSON.missingNode() : found.deepCopy();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    private boolean handle(Wire.Request request, Socket socket, OutputStream output) throws Exception {
        String[] parts = request.path().split("/");
        String kind = parts[3];
        if (parts.length == 4 && request.method().equals("GET")) {
            Wire.json(output, 200, request.query().containsKey("watch") ? watch(request, kind) : list(request, kind));
            return true;
        }
        Result result = change(request, kind, parts);
        if (result.document().isMissingNode()) {
            Wire.answer(output, result.status(), java.util.Map.of(), new byte[0]);
        } else {
            Wire.json(output, result.status(), result.document());
        }
        return true;
    }

    private record Result(int status, JsonNode document) {}

    private synchronized Result change(Wire.Request request, String kind, String[] parts) throws IOException {
        JsonNode body = request.body().length == 0 ? Wire.JSON.createObjectNode() : Wire.JSON.readTree(request.body());
        String name = parts.length > 4 ? parts[4] : body.path("metadata").path("name").asText();
        JsonNode existing = find(kind, name);
        long expected = request.query().containsKey("revision")
                ? Long.parseLong(request.query().get("revision"))
                : body.path("metadata").path("revision").asLong(-1);
        if (request.method().equals("GET")) {
            return new Result(existing.isMissingNode() ? 404 : 200, existing);
        }
        if (request.method().equals("POST")) {
            return existing.isMissingNode()
                    ? new Result(200, store(kind, name, "spec", body.path("spec")))
                    : new Result(409, existing);
        }
        if (existing.isMissingNode()) {
            return new Result(404, existing);
        }
        if (expected >= 0 && existing.path("metadata").path("revision").asLong() != expected) {
            return new Result(409, existing);
        }
        if (request.method().equals("DELETE")) {
            remove(kind, name);
            return new Result(200, existing);
        }
        String field = parts.length > 5 ? "status" : "spec";
        if (existing.path(field).equals(body.path(field))) {
            return new Result(200, existing);
        }
        return new Result(200, store(kind, name, field, body.path(field)));
    }

    private synchronized ObjectNode list(Wire.Request request, String kind) {
        ObjectNode answer = Wire.JSON.createObjectNode();
        ArrayNode items = answer.putArray("items");
        String after = request.query().getOrDefault("after", "");
        long bytes = 0;
        boolean more = false;
        for (var entry : objects.entrySet()) {
            String name = entry.getKey().substring(entry.getKey().indexOf('/') + 1);
            if (!entry.getKey().startsWith(kind + "/") || name.compareTo(after) <= 0) {
                continue;
            }
            if (items.size() >= 500 || bytes > 1_000_000) {
                more = true;
                break;
            }
            bytes += entry.getValue().toString().length();
            items.add(entry.getValue().deepCopy());
        }
        return answer.put("more-pages", more).put("current-rev", revision);
    }

    private synchronized ObjectNode watch(Wire.Request request, String kind) throws InterruptedException {
        long after = Long.parseLong(request.query().get("watch"));
        long end = System.nanoTime() + Long.parseLong(request.query().getOrDefault("wait-ms", "1")) * 1_000_000;
        while (true) {
            ArrayNode found = Wire.JSON.createArrayNode();
            for (ObjectNode event : events) {
                if (event.path("kind").asText().equals(kind) && event.path("revision").asLong() > after) {
                    found.addObject().put("deleted", event.path("deleted").asBoolean()).set("object", event.path("object"));
                }
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!found.isEmpty() || left <= 0) {
                ObjectNode answer = Wire.JSON.createObjectNode();
                answer.set("events", found);
                return answer.put("current-rev", revision);
            }
            wait(left);
        }
    }

    private ObjectNode store(String kind, String name, String field, JsonNode value) {
        revision++;
        ObjectNode previous = objects.get(kind + "/" + name);
        ObjectNode object = previous == null ? Wire.JSON.createObjectNode() : previous.deepCopy();
        ObjectNode metadata = object.withObject("/metadata");
        metadata.put("name", name).put("revision", revision).put("deleting", false);
        if (previous == null) {
            metadata.put("create-revision", revision);
        }
        metadata.putArray("finalizers");
        object.set(field, value);
        objects.put(kind + "/" + name, object);
        event(kind, object, false);
        return object;
    }

    private void event(String kind, ObjectNode object, boolean deleted) {
        ObjectNode event = Wire.JSON.createObjectNode();
        event.put("kind", kind).put("revision", revision).put("deleted", deleted).set("object", object.deepCopy());
        events.add(event);
        notifyAll();
    }
}
