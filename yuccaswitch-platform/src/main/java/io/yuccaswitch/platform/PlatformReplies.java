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

/** Turns replies of the object API into the events that answer calls. */
final class PlatformReplies {

    /** The status of success. */
    private static final int OK = 200;

    /** The status of a read of an object that does not exist. */
    private static final int NOT_FOUND = 404;

    /** The status of a write whose condition did not hold. */
    private static final int CONFLICT = 409;

    /** The status of a watch from a version that the platform no longer knows. */
    private static final int GONE = 410;

    /** The status of a call over a rate limit. */
    private static final int TOO_MANY_REQUESTS = 429;

    /** The lowest status of a refusal that leaves no effect. */
    private static final int CLIENT_ERROR = 400;

    /** The lowest status of a failure of the platform. */
    private static final int SERVER_ERROR = 500;

    /** The status of a call that the platform gave up, such that a write may have taken effect. */
    private static final int REQUEST_TIMEOUT = 408;

    /** The codec of documents. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** This class has no instances. */
    private PlatformReplies() {}

    /**
     * Returns whether a call changes an object.
     *
     * @param effect The call.
     * @return {@code true} for writes and deletions.
     */
    static boolean changes(PlatformEffect effect) {
        return effect instanceof PlatformEffect.Write || effect instanceof PlatformEffect.Delete;
    }

    /**
     * Turns a reply into the result of an attempt.
     *
     * @param effect The call.
     * @param reply The reply.
     * @return The result.
     */
    static Attempt decode(PlatformEffect effect, Reply reply) {
        boolean changes = changes(effect);
        if (reply instanceof Reply.Failed failed) {
            return Attempt.unavailable(effect.token(), changes && failed.sent(), failed.reason(), Outcome.FAILED);
        }
        Reply.Answered answer = (Reply.Answered) reply;
        Optional<Attempt> refusal = refusal(effect, answer.status());
        if (refusal.isPresent()) {
            return refusal.get();
        }
        try {
            return answered(effect, answer);
        } catch (IOException | IllegalArgumentException exception) {
            return Attempt.unavailable(
                    effect.token(), changes, "undecodable answer: " + exception.getMessage(), Outcome.FAILED);
        }
    }

    /**
     * Recognises an answer that refuses a call.
     *
     * @param effect The call.
     * @param status The HTTP status.
     * @return The result, or empty if the answer is none that refuses.
     */
    private static Optional<Attempt> refusal(PlatformEffect effect, int status) {
        boolean changes = changes(effect);
        if (status == OK
                || (status == CONFLICT && changes)
                || (status == NOT_FOUND && effect instanceof PlatformEffect.Read)
                || (status == GONE && effect instanceof PlatformEffect.Watch)) {
            return Optional.empty();
        }
        String reason = "status " + status;
        if (status == TOO_MANY_REQUESTS) {
            return Optional.of(Attempt.unavailable(effect.token(), false, reason, Outcome.RATE_LIMITED));
        }
        if (status >= CLIENT_ERROR && status < SERVER_ERROR && status != REQUEST_TIMEOUT) {
            return Optional.of(Attempt.unavailable(effect.token(), false, reason, Outcome.REJECTED));
        }
        return Optional.of(Attempt.unavailable(effect.token(), changes, reason, Outcome.FAILED));
    }

    /**
     * Decodes an answer that does not refuse a call.
     *
     * @param effect The call.
     * @param answer The answer.
     * @return The result.
     * @throws IOException If the answer can't be decoded.
     */
    private static Attempt answered(PlatformEffect effect, Reply.Answered answer) throws IOException {
        if (answer.status() == CONFLICT) {
            return new Attempt(
                    new PlatformEvent.Conflict(effect.token(), conflicting(keyOf(effect), answer)), Outcome.CONFLICT);
        }
        return new Attempt(event(effect, answer), Outcome.ANSWERED);
    }

    /**
     * Decodes an answer to what was asked.
     *
     * @param effect The call.
     * @param answer The answer.
     * @return The event.
     * @throws IOException If the answer can't be decoded.
     */
    private static PlatformEvent event(PlatformEffect effect, Reply.Answered answer) throws IOException {
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
    private static PlatformEvent watched(PlatformEffect.Watch watch, Reply.Answered answer) throws IOException {
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
    private static Optional<StoredObject> conflicting(ObjectKey key, Reply.Answered answer) throws IOException {
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
    private static StoredObject stored(ObjectKey key, Reply.Answered answer) throws IOException {
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
