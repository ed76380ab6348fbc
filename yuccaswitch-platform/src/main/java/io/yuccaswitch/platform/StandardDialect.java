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

/** The dialect of the product's own object API, which transfers versions in headers. */
final class StandardDialect implements ObjectApiDialect {

    /** The status of a read of an object that does not exist. */
    private static final int NOT_FOUND = 404;

    /** The status of a write whose condition was not met. */
    private static final int CONFLICT = 409;

    /** The status of a watch from a version that is no longer in the platform's history. */
    private static final int GONE = 410;

    /** The JSON mapper. */
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
            return new PlatformEvent.Conflict(effect.token(), decodeConflict(changedKey(effect), answer));
        }
        return decodeAnswer(effect, answer);
    }

    @Override
    public boolean guaranteesNotApplied(int _status) {
        return false;
    }

    /**
     * Decodes an answer other than a conflict.
     *
     * @param effect The call.
     * @param answer The answer.
     * @return The event.
     * @throws IOException If the answer cannot be decoded.
     */
    private static PlatformEvent decodeAnswer(PlatformEffect effect, Answer answer) throws IOException {
        long token = effect.token();
        if (effect instanceof PlatformEffect.Read read) {
            return new PlatformEvent.ObjectRead(
                    token,
                    answer.status() == NOT_FOUND ? Optional.empty() : Optional.of(decodeObject(read.key(), answer)));
        }
        if (effect instanceof PlatformEffect.Watch watch) {
            return decodeWatch(watch, answer);
        }
        JsonNode document = MAPPER.readTree(answer.body().unsafeArray());
        if (effect instanceof PlatformEffect.ListKind list) {
            return new PlatformEvent.ObjectsListed(
                    token, decodeObjects(list.kind(), document), integer(document, "version"), false);
        }
        if (effect instanceof PlatformEffect.ListVirtualMachines) {
            return new PlatformEvent.VirtualMachinesListed(token, decodeVirtualMachines(document));
        }
        return new PlatformEvent.Accepted(token, integer(document, "version"));
    }

    /**
     * Decodes the answer to a watch. The returned version is never lower than the requested one, even if a lagging
     * replica answered, since a watch from the lower version would return old changes again.
     *
     * @param watch The watch.
     * @param answer The answer.
     * @return The event.
     * @throws IOException If the answer cannot be decoded.
     */
    private static PlatformEvent decodeWatch(PlatformEffect.Watch watch, Answer answer) throws IOException {
        if (answer.status() == GONE) {
            return new PlatformEvent.ObjectsListed(watch.token(), List.of(), watch.afterVersion(), true);
        }
        JsonNode document = MAPPER.readTree(answer.body().unsafeArray());
        if (document.path("reset").asBoolean()) {
            return new PlatformEvent.ObjectsListed(watch.token(), List.of(), watch.afterVersion(), true);
        }
        List<StoredObject> changes = decodeObjects(watch.kind(), document);
        changes.removeIf(change -> change.version() <= watch.afterVersion());
        long version = Math.max(watch.afterVersion(), integer(document, "version"));
        return new PlatformEvent.ObjectsListed(watch.token(), changes, version, false);
    }

    /**
     * Returns the key of the object that a write or deletion changes.
     *
     * @param effect The call.
     * @return The key.
     */
    private static ObjectKey changedKey(PlatformEffect effect) {
        return effect instanceof PlatformEffect.Write write ? write.key() : ((PlatformEffect.Delete) effect).key();
    }

    /**
     * Decodes the object that a write conflicted with.
     *
     * @param key The object's key.
     * @param answer The answer.
     * @return The object, or empty if it does not exist.
     * @throws IOException If the answer cannot be decoded.
     */
    private static Optional<StoredObject> decodeConflict(ObjectKey key, Answer answer) throws IOException {
        return answer.version().isEmpty() ? Optional.empty() : Optional.of(decodeObject(key, answer));
    }

    /**
     * Decodes an object.
     *
     * @param key The object's key.
     * @param answer The answer, whose body is the value.
     * @return The object.
     * @throws IOException If the answer has no version.
     */
    private static StoredObject decodeObject(ObjectKey key, Answer answer) throws IOException {
        String version = answer.version().orElseThrow(() -> new IOException("answer has no version header"));
        return new StoredObject(key, Long.parseLong(version), answer.body(), false);
    }

    /**
     * Decodes a list of objects.
     *
     * @param kind The kind of the objects.
     * @param document The document.
     * @return The objects, ordered by version.
     * @throws IOException If the document does not contain a valid list.
     */
    private static List<StoredObject> decodeObjects(String kind, JsonNode document) throws IOException {
        List<StoredObject> objects = new ArrayList<>();
        for (JsonNode node : array(document, "objects")) {
            ObjectKey key = new ObjectKey(kind, node.path("name").asText());
            Bytes value = Bytes.wrap(node.path("value").binaryValue());
            objects.add(new StoredObject(
                    key, integer(node, "version"), value, node.path("deleted").asBoolean()));
        }
        objects.sort(Comparator.comparingLong(StoredObject::version));
        return objects;
    }

    /**
     * Decodes the list of VMs.
     *
     * @param document The document.
     * @return The VMs.
     * @throws IOException If the document does not contain a valid list.
     */
    private static List<PlatformEvent.VirtualMachine> decodeVirtualMachines(JsonNode document) throws IOException {
        List<PlatformEvent.VirtualMachine> vms = new ArrayList<>();
        for (JsonNode node : array(document, "virtualMachines")) {
            vms.add(new PlatformEvent.VirtualMachine(
                    node.path("name").asText(),
                    node.path("address").asText(),
                    node.path("leaving").asBoolean()));
        }
        return vms;
    }

    /**
     * Returns an array from a document.
     *
     * @param document The document.
     * @param name The name of the array.
     * @return The array.
     * @throws IOException If the document does not contain it.
     */
    private static JsonNode array(JsonNode document, String name) throws IOException {
        JsonNode node = document.path(name);
        if (!node.isArray()) {
            throw new IOException("document has no array " + name);
        }
        return node;
    }

    /**
     * Returns an integer from a document.
     *
     * @param document The document.
     * @param name The name of the integer.
     * @return The integer.
     * @throws IOException If the document does not contain it.
     */
    private static long integer(JsonNode document, String name) throws IOException {
        JsonNode node = document.path(name);
        if (!node.isIntegralNumber()) {
            throw new IOException("document has no integer " + name);
        }
        return node.asLong();
    }
}
