package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's object store: linearizable, with one revision counter, lists in pages, and watches. */
final class Store implements AutoCloseable {

    static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int ANSWER_MILLIS = 4;
    private static final int PAGE_ITEMS = 500;
    private static final int PAGE_BYTES = 1_000_000;

    private record Event(String kind, long revision, boolean deleted, ObjectNode object) {}

    private final TreeMap<String, ObjectNode> objects = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private final Http.Server server;
    private long revision = 100;
    /** Watches that begin before this revision are answered with 410. */
    private long oldestRevision;

    Store() throws IOException {
        server = new Http.Server(0, this::handle);
    }

    String address() {
        return server.address();
    }

    int port() {
        return server.port();
    }

    @Override
    public void close() {
        server.close();
    }

    /** Writes the spec of an object, as the operator, a trainer or an engine does. */
    synchronized void put(String kind, String name, JsonNode spec) {
        write(kind, name, "spec", spec);
    }

    /** Stores an object that was written so long ago that the history no longer has it. */
    synchronized void putOld(String kind, String name, JsonNode spec) {
        write(kind, name, "spec", spec);
        events.clear();
        oldestRevision = revision;
    }

    synchronized void remove(String kind, String name) {
        ObjectNode removed = objects.remove(kind + "/" + name);
        if (removed != null) {
            revision++;
            ObjectNode last = removed.deepCopy();
            ((ObjectNode) last.path("metadata")).put("revision", revision);
            events.add(new Event(kind, revision, true, last));
            notifyAll();
        }
    }

    synchronized String spec(String kind, String name) {
        ObjectNode found = objects.get(kind + "/" + name);
        return found == null ? "" : found.path("spec").toString();
    }

    synchronized List<String> names(String kind) {
        List<String> names = new ArrayList<>();
        objects.keySet().forEach(key -> {
            if (key.startsWith(kind + "/")) {
                names.add(key.substring(kind.length() + 1));
            }
        });
        return names;
    }

    private boolean handle(Http.Request request, OutputStream output, Socket socket)
            throws IOException, InterruptedException {
        Thread.sleep(ANSWER_MILLIS);
        String[] parts = request.path().split("/", -1);
        if (parts.length < 4 || !request.path().startsWith("/v1/objects/")) {
            return answer(output, 404, MAPPER.createObjectNode());
        }
        String kind = parts[3];
        String name = parts.length > 4 ? parts[4] : "";
        switch (request.method()) {
            case "GET" -> {
                if (!name.isEmpty()) {
                    return read(output, kind, name);
                }
                return request.query().containsKey("watch")
                        ? watch(request, output, kind)
                        : list(request, output, kind);
            }
            case "POST" -> {
                return create(request, output, kind);
            }
            case "PUT" -> {
                return replace(request, output, kind, name, parts.length > 5 ? "status" : "spec");
            }
            case "DELETE" -> {
                return delete(request, output, kind, name);
            }
            default -> {
                return answer(output, 404, MAPPER.createObjectNode());
            }
        }
    }

    private boolean read(OutputStream output, String kind, String name) throws IOException {
        ObjectNode found;
        synchronized (this) {
            found = objects.get(kind + "/" + name);
        }
        return answer(output, found == null ? 404 : 200, found == null ? MAPPER.createObjectNode() : found);
    }

    private boolean list(Http.Request request, OutputStream output, String kind) throws IOException {
        ObjectNode answer = MAPPER.createObjectNode();
        ArrayNode items = answer.putArray("items");
        String after = request.query().getOrDefault("after", "");
        boolean more = false;
        synchronized (this) {
            int bytes = 0;
            for (Map.Entry<String, ObjectNode> entry :
                    objects.tailMap(kind + "/" + after, after.isEmpty()).entrySet()) {
                if (!entry.getKey().startsWith(kind + "/")) {
                    break;
                }
                if (items.size() >= PAGE_ITEMS || bytes >= PAGE_BYTES) {
                    more = true;
                    break;
                }
                bytes += entry.getValue().toString().length();
                items.add(entry.getValue());
            }
            answer.put("more-pages", more).put("current-rev", revision);
        }
        return answer(output, 200, answer);
    }

    private boolean watch(Http.Request request, OutputStream output, String kind)
            throws IOException, InterruptedException {
        long after = Long.parseLong(request.query().get("watch"));
        long end = System.nanoTime() + Long.parseLong(request.query().getOrDefault("wait-ms", "0")) * 1_000_000;
        ObjectNode answer = MAPPER.createObjectNode();
        ArrayNode found = answer.putArray("events");
        synchronized (this) {
            if (after < oldestRevision) {
                return answer(output, 410, MAPPER.createObjectNode());
            }
            while (true) {
                for (Event event : events) {
                    if (event.revision() > after && event.kind().equals(kind)) {
                        found.addObject().put("deleted", event.deleted()).set("object", event.object());
                    }
                }
                long left = (end - System.nanoTime()) / 1_000_000;
                if (!found.isEmpty() || left <= 0) {
                    break;
                }
                wait(left);
            }
            answer.put("current-rev", revision);
        }
        return answer(output, 200, answer);
    }

    private boolean create(Http.Request request, OutputStream output, String kind) throws IOException {
        JsonNode body = MAPPER.readTree(request.body());
        String name = body.path("metadata").path("name").asText();
        ObjectNode object;
        boolean exists;
        synchronized (this) {
            exists = objects.containsKey(kind + "/" + name);
            object = exists ? objects.get(kind + "/" + name) : write(kind, name, "spec", body.path("spec"));
        }
        return answer(output, exists ? 409 : 200, object);
    }

    private boolean replace(Http.Request request, OutputStream output, String kind, String name, String field)
            throws IOException {
        JsonNode body = MAPPER.readTree(request.body());
        long expected = body.path("metadata").path("revision").asLong(-1);
        ObjectNode object;
        int status = 200;
        synchronized (this) {
            object = objects.get(kind + "/" + name);
            if (object == null) {
                status = 404;
                object = MAPPER.createObjectNode();
            } else if (expected >= 0 && object.path("metadata").path("revision").asLong() != expected) {
                status = 409;
            } else if (!object.path(field).equals(body.path(field))) {
                object = write(kind, name, field, body.path(field));
            }
        }
        return answer(output, status, object);
    }

    private boolean delete(Http.Request request, OutputStream output, String kind, String name) throws IOException {
        int status = 200;
        ObjectNode object;
        synchronized (this) {
            object = objects.get(kind + "/" + name);
            String expected = request.query().getOrDefault("revision", "");
            if (object == null) {
                status = 404;
                object = MAPPER.createObjectNode();
            } else if (!expected.isEmpty()
                    && object.path("metadata").path("revision").asLong() != Long.parseLong(expected)) {
                status = 409;
            } else {
                remove(kind, name);
            }
        }
        return answer(output, status, object);
    }

    private ObjectNode write(String kind, String name, String field, JsonNode value) {
        revision++;
        ObjectNode previous = objects.get(kind + "/" + name);
        ObjectNode object = previous == null ? MAPPER.createObjectNode() : previous.deepCopy();
        long created = previous == null
                ? revision
                : previous.path("metadata").path("create-revision").asLong();
        ObjectNode metadata = object.putObject("metadata");
        metadata.put("name", name).put("revision", revision).put("create-revision", created);
        metadata.putArray("finalizers");
        metadata.put("deleting", false);
        object.set(field, value);
        objects.put(kind + "/" + name, object);
        events.add(new Event(kind, revision, false, object));
        notifyAll();
        return object;
    }

    private static boolean answer(OutputStream output, int status, JsonNode body) throws IOException {
        Http.respond(output, status, Map.of("Content-Type", "application/json"), MAPPER.writeValueAsBytes(body));
        return true;
    }
}
