package io.yuccaswitch.core.site;

import io.yuccaswitch.core.platform.ObjectKey;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.value.Bytes;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import java.util.function.Function;
import java.util.function.Predicate;

/** A simulated platform that several cores share, with outages, lost answers and writes that are applied late. */
public final class SharedPlatform {

    private final Map<String, StoredObject> objects = new TreeMap<>();
    private final List<StoredObject> changes = new ArrayList<>();
    private final List<PlatformEffect> log = new ArrayList<>();
    private final List<PlatformEffect.Write> delayedWrites = new ArrayList<>();
    private BiPredicate<String, PlatformEffect> failing = (_node, _call) -> false;
    private BiPredicate<String, PlatformEffect> answerLost = (_node, _call) -> false;
    private BiPredicate<String, PlatformEffect> appliedLate = (_node, _call) -> false;
    private Predicate<String> disconnected = _node -> false;
    private Predicate<String> silent = _node -> false;
    private Function<String, Duration> delay = _node -> Duration.ZERO;
    private long version = 10;
    private long oldestAvailableVersion;

    /** Fails the calls that match. */
    public void failWhere(BiPredicate<String, PlatformEffect> condition) {
        failing = condition;
    }

    /** Applies the calls that match, and drops their answers. */
    public void loseAnswersWhere(BiPredicate<String, PlatformEffect> condition) {
        answerLost = condition;
    }

    /** Reports no answer to the writes that match, and applies them when {@link #applyLate()} is called. */
    public void applyLateWhere(BiPredicate<String, PlatformEffect> condition) {
        appliedLate = condition;
    }

    /** Applies the delayed writes whose expected versions still match. */
    public void applyLate() {
        delayedWrites.forEach(this::write);
        delayedWrites.clear();
    }

    /** Discards the history of changes. */
    public void compact() {
        changes.clear();
        oldestAvailableVersion = version;
    }

    /** Puts an object as the operator, an endpoint or a trainer would. */
    public void put(String kind, String name, String value) {
        store(new ObjectKey(kind, name), Bytes.ofUtf8(value), false);
    }

    /** Removes an object. */
    public void remove(String kind, String name) {
        store(new ObjectKey(kind, name), Bytes.EMPTY, true);
    }

    /** Returns an object. */
    public Optional<StoredObject> find(String kind, String name) {
        return Optional.ofNullable(objects.get(new ObjectKey(kind, name).toString()));
    }

    /** Returns the objects of a kind. */
    public List<StoredObject> all(String kind) {
        return objects.values().stream()
                .filter(object -> object.key().kind().equals(kind))
                .toList();
    }

    /** Returns all executed calls. */
    public List<PlatformEffect> log() {
        return log;
    }

    /**
     * Disconnects the nodes that match: their watches end with an error at the wait time, and their other calls stay
     * unanswered.
     */
    public void disconnectWhere(Predicate<String> condition) {
        disconnected = condition;
    }

    /** Does not answer the calls of the nodes that match while they match. */
    public void silenceWhere(Predicate<String> condition) {
        silent = condition;
    }

    /** Delays the answers to nodes. An answer contains the state at the time when it was created. */
    public void delayAnswers(Function<String, Duration> byNode) {
        delay = byNode;
    }

    /** Returns the delay of an answer to a node. */
    Duration delay(String node) {
        return delay.apply(node);
    }

    /** Returns whether calls of a node are not answered. */
    boolean isSilent(String node) {
        return silent.test(node);
    }

    /** Returns whether a call is to be answered now. */
    boolean isReady(String node, PlatformEffect call) {
        if (disconnected.test(node)) {
            return false;
        }
        return !(call instanceof PlatformEffect.Watch watch)
                || watch.afterVersion() < oldestAvailableVersion
                || !changesAfter(watch).isEmpty();
    }

    /** Executes a call of a node. */
    PlatformEvent answer(String node, PlatformEffect call) {
        log.add(call);
        if (disconnected.test(node) || failing.test(node, call)) {
            return new PlatformEvent.Unavailable(call.token(), false, "outage");
        }
        if (call instanceof PlatformEffect.Write write && appliedLate.test(node, call)) {
            delayedWrites.add(write);
            return new PlatformEvent.Unavailable(call.token(), true, "no answer");
        }
        PlatformEvent event = execute(call);
        return answerLost.test(node, call) ? new PlatformEvent.Unavailable(call.token(), true, "answer lost") : event;
    }

    private PlatformEvent execute(PlatformEffect call) {
        if (call instanceof PlatformEffect.Read read) {
            return new PlatformEvent.ObjectRead(
                    read.token(), Optional.ofNullable(objects.get(read.key().toString())));
        }
        if (call instanceof PlatformEffect.ListKind list) {
            List<StoredObject> found = all(list.kind()).stream()
                    .filter(object -> list.after()
                            .filter(name -> object.key().name().compareTo(name) <= 0)
                            .isEmpty())
                    .filter(object -> object.deleted() || list.filter().retains(object))
                    .toList();
            return new PlatformEvent.ObjectsListed(list.token(), found, version, false);
        }
        if (call instanceof PlatformEffect.Watch watch) {
            boolean compacted = watch.afterVersion() < oldestAvailableVersion;
            return new PlatformEvent.ObjectsListed(
                    watch.token(), compacted ? List.of() : changesAfter(watch), version, compacted);
        }
        if (call instanceof PlatformEffect.Write write) {
            return write(write);
        }
        throw new IllegalArgumentException("unexpected call: " + call);
    }

    private PlatformEvent write(PlatformEffect.Write write) {
        Optional<StoredObject> current =
                Optional.ofNullable(objects.get(write.key().toString()));
        long currentVersion = current.map(StoredObject::version).orElse(-1L);
        if (currentVersion != write.expectedVersion().orElse(-1)) {
            return new PlatformEvent.Conflict(write.token(), current);
        }
        store(write.key(), write.value(), false);
        return new PlatformEvent.Accepted(write.token(), version);
    }

    private void store(ObjectKey key, Bytes value, boolean deleted) {
        version++;
        StoredObject object = new StoredObject(key, version, value, deleted);
        if (deleted) {
            objects.remove(key.toString());
        } else {
            objects.put(key.toString(), object);
        }
        changes.add(object);
    }

    private List<StoredObject> changesAfter(PlatformEffect.Watch watch) {
        return changes.stream()
                .filter(object -> object.key().kind().equals(watch.kind()))
                .filter(object -> object.version() > watch.afterVersion())
                .toList();
    }
}
