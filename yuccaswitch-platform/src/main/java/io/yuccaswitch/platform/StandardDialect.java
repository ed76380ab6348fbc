package io.yuccaswitch.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.yuccaswitch.core.platform.ObjectKey;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.value.Bytes;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import okhttp3.Request;

/** The dialect of the product's own object API, which bears versions in headers. */
final class StandardDialect implements ObjectApiDialect {

    /** The status of a read of an object that does not exist. */
    private static final int NOT_FOUND = 404;

    /** The status of a write whose condition did not hold. */
    private static final int CONFLICT = 409;

    /** The status of a watch from a version that the platform no longer knows. */
    private static final int GONE = 410;

    /** The codec of documents. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** The builder of requests. */
    private final PlatformRequests requests;

    /**
     * Creates a dialect.
     *
     * @param settings The settings of the client.
     */
    StandardDialect(PlatformClientSettings settings) {
        requests = new PlatformRequests(settings);
    }

    @Override
    public Request request(PlatformEffect effect, boolean probe) {
        return requests.build(effect, probe);
    }

    @Override
    public PlatformEvent event(PlatformEffect effect, Answer answer) throws IOException {
        if (answer.status() == CONFLICT) {
            return new PlatformEvent.Conflict(effect.token(), conflicting(keyOf(effect), answer));
        }
        return answered(effect, answer);
    }

    @Override
    public boolean promisesUnapplied(int _status) {
        return false;
    }

    /**
     * Decodes an answer to what was asked.
     *
     * @param effect The call.
     * @param answer The answer.
     * @return The event.
     * @throws IOException If the answer can't be decoded.
     */
    private static PlatformEvent answered(PlatformEffect effect, Answer answer) throws IOException {
        long token = effect.token();
        if (effect instanceof PlatformEffect.Read read) {
            return new PlatformEvent.ObjectRead(
                    token, answer.status() == NOT_FOUND ? Optional.empty() : Optional.of(stored(read.key(), answer)));
        }
        if (effect instanceof PlatformEffect.Watch watch) {
            return watched(watch, answer);
        }
        JsonNode document = MAPPER.readTree(answer.body().unsafeArray());
        if (effect instanceof PlatformEffect.ListKind list) {
            return new PlatformEvent.ObjectsListed(
                    token, objects(list.kind(), document), number(document, "version"), false);
        }
        if (effect instanceof PlatformEffect.ListVirtualMachines) {
            return new PlatformEvent.VirtualMachinesListed(token, virtualMachines(document));
        }
        return new PlatformEvent.Accepted(token, number(document, "version"));
    }

    /**
     * Decodes the answer to a watch. Its version never falls behind the one that was asked for, even if a replica that
     * lags behind answered, since watching from the older version would bring old changes again.
     *
     * @param watch The watch.
     * @param answer The answer.
     * @return The event.
     * @throws IOException If the answer can't be decoded.
     */
    private static PlatformEvent watched(PlatformEffect.Watch watch, Answer answer) throws IOException {
        if (answer.status() == GONE) {
            return new PlatformEvent.ObjectsListed(watch.token(), List.of(), watch.afterVersion(), true);
        }
        JsonNode document = MAPPER.readTree(answer.body().unsafeArray());
        if (document.path("reset").asBoolean()) {
            return new PlatformEvent.ObjectsListed(watch.token(), List.of(), watch.afterVersion(), true);
        }
        List<StoredObject> changes = objects(watch.kind(), document);
        changes.removeIf(change -> change.version() <= watch.afterVersion());
        long version = Math.max(watch.afterVersion(), number(document, "version"));
        return new PlatformEvent.ObjectsListed(watch.token(), changes, version, false);
    }

    /**
     * Returns the key of the object that a call changes.
     *
     * @param effect The call.
     * @return The key.
     */
    private static ObjectKey keyOf(PlatformEffect effect) {
        return effect instanceof PlatformEffect.Write write ? write.key() : ((PlatformEffect.Delete) effect).key();
    }

    /**
     * Decodes the object that a refused write found.
     *
     * @param key The object's key.
     * @param answer The answer.
     * @return The object, or empty if it does not exist.
     * @throws IOException If the answer can't be decoded.
     */
    private static Optional<StoredObject> conflicting(ObjectKey key, Answer answer) throws IOException {
        return answer.version().isEmpty() ? Optional.empty() : Optional.of(stored(key, answer));
    }

    /**
     * Decodes an object.
     *
     * @param key The object's key.
     * @param answer The answer, whose body is the value.
     * @return The object.
     * @throws IOException If the answer bears no version.
     */
    private static StoredObject stored(ObjectKey key, Answer answer) throws IOException {
        String version = answer.version().orElseThrow(() -> new IOException("no version"));
        return new StoredObject(key, Long.parseLong(version), answer.body(), false);
    }

    /**
     * Decodes a list of objects.
     *
     * @param kind The kind of the objects.
     * @param document The document.
     * @return The objects in the order of their versions.
     * @throws IOException If the document is not a list.
     */
    private static List<StoredObject> objects(String kind, JsonNode document) throws IOException {
        List<StoredObject> objects = new ArrayList<>();
        for (JsonNode node : array(document, "objects")) {
            ObjectKey key = new ObjectKey(kind, node.path("name").asText());
            Bytes value = Bytes.wrap(node.path("value").binaryValue());
            objects.add(new StoredObject(
                    key, number(node, "version"), value, node.path("deleted").asBoolean()));
        }
        objects.sort(Comparator.comparingLong(StoredObject::version));
        return objects;
    }

    /**
     * Decodes the list of VMs.
     *
     * @param document The document.
     * @return The VMs.
     * @throws IOException If the document is not a list.
     */
    private static List<PlatformEvent.VirtualMachine> virtualMachines(JsonNode document) throws IOException {
        List<PlatformEvent.VirtualMachine> machines = new ArrayList<>();
        for (JsonNode node : array(document, "virtualMachines")) {
            machines.add(new PlatformEvent.VirtualMachine(
                    node.path("name").asText(),
                    node.path("address").asText(),
                    node.path("leaving").asBoolean()));
        }
        return machines;
    }

    /**
     * Returns a list from a document.
     *
     * @param document The document.
     * @param name The list's name.
     * @return The list.
     * @throws IOException If there is none.
     */
    private static JsonNode array(JsonNode document, String name) throws IOException {
        JsonNode node = document.path(name);
        if (!node.isArray()) {
            throw new IOException("no list " + name);
        }
        return node;
    }

    /**
     * Returns a whole number from a document.
     *
     * @param document The document.
     * @param name The number's name.
     * @return The number.
     * @throws IOException If there is none.
     */
    private static long number(JsonNode document, String name) throws IOException {
        JsonNode node = document.path(name);
        if (!node.isIntegralNumber()) {
            throw new IOException("no number " + name);
        }
        return node.asLong();
    }
}
