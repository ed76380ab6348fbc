package io.yuccaswitch.core.driver;

import io.yuccaswitch.core.platform.ObjectKey;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.value.Bytes;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

/** A simulated platform for a {@link CoreDriver}: objects with versions, watches, outages and a lagging replica. */
public final class DrivenPlatform {

    private static final long CALL_TIMEOUT_MILLIS = 200;
    private static final long WATCH_TIMEOUT_MILLIS = 10_000;

    private final CoreDriver driver;
    private final Map<String, StoredObject> objects = new TreeMap<>();
    private final Map<Kind, Integer> calls = new EnumMap<>(Kind.class);
    private final List<PendingWatch> watches = new ArrayList<>();
    private Predicate<DrivenNode> unreachable = _node -> false;
    private Optional<Map<String, StoredObject>> replica = Optional.empty();
    private List<PlatformEvent.VirtualMachine> virtualMachines = List.of();
    private long answerDelayMillis = 5;
    private long version = 100;

    DrivenPlatform(CoreDriver driver) {
        this.driver = driver;
    }

    public void down() {
        unreachable = _node -> true;
    }

    public void up() {
        unreachable = _node -> false;
    }

    public void slow(Duration delay) {
        answerDelayMillis = delay.toMillis();
    }

    public void downFor(Predicate<DrivenNode> nodes) {
        unreachable = nodes;
    }

    /** Makes reads and lists return the current objects from now on, while watches still return later changes. */
    public void freezeReplica() {
        replica = Optional.of(new TreeMap<>(objects));
    }

    public void virtualMachines(List<PlatformEvent.VirtualMachine> listed) {
        virtualMachines = listed;
    }

    public void put(String kind, String name, Bytes value) {
        version++;
        ObjectKey key = new ObjectKey(kind, name);
        objects.put(key.toString(), new StoredObject(key, version, value, false));
    }

    public void configure(Bytes envelope) {
        put("configuration", "fleet", envelope);
    }

    public int calls(Kind kind) {
        return calls.getOrDefault(kind, 0);
    }

    public void resetCalls() {
        calls.clear();
    }

    public Optional<Bytes> value(String kind, String name) {
        return Optional.ofNullable(objects.get(kind + "/" + name)).map(StoredObject::value);
    }

    void step() {
        for (PendingWatch pending : List.copyOf(watches)) {
            boolean expired = driver.nowMillis() - pending.sinceMillis() >= WATCH_TIMEOUT_MILLIS;
            if (unreachable.test(pending.node())) {
                watches.remove(pending);
                fail(pending.node(), pending.call().token());
            } else if (expired || !changes(pending.call()).isEmpty()) {
                watches.remove(pending);
                List<StoredObject> changes = changes(pending.call());
                answer(
                        pending.node(),
                        new PlatformEvent.ObjectsListed(pending.call().token(), changes, version, false));
            }
        }
    }

    void call(DrivenNode node, PlatformEffect call) {
        calls.merge(Kind.of(call), 1, Integer::sum);
        if (unreachable.test(node)) {
            driver.schedule(CALL_TIMEOUT_MILLIS, () -> fail(node, call.token()));
        } else if (call instanceof PlatformEffect.Watch watch) {
            watches.add(new PendingWatch(node, watch, driver.nowMillis()));
        } else {
            answer(node, execute(call));
        }
    }

    private PlatformEvent execute(PlatformEffect call) {
        Map<String, StoredObject> readable = replica.orElse(objects);
        if (call instanceof PlatformEffect.Read read) {
            return new PlatformEvent.ObjectRead(read.token(), find(readable, read.key()));
        }
        if (call instanceof PlatformEffect.ListKind list) {
            List<StoredObject> found = readable.values().stream()
                    .filter(object -> object.key().kind().equals(list.kind()))
                    .toList();
            return new PlatformEvent.ObjectsListed(list.token(), found, version, false);
        }
        if (call instanceof PlatformEffect.Write write) {
            Optional<StoredObject> current = find(objects, write.key());
            if (current.map(StoredObject::version).orElse(-1L)
                    != write.expectedVersion().orElse(-1L)) {
                return new PlatformEvent.Conflict(write.token(), current);
            }
            put(write.key().kind(), write.key().name(), write.value());
            return new PlatformEvent.Accepted(write.token(), version);
        }
        if (call instanceof PlatformEffect.Delete delete) {
            objects.remove(delete.key().toString());
            return new PlatformEvent.Accepted(delete.token(), ++version);
        }
        return new PlatformEvent.VirtualMachinesListed(call.token(), virtualMachines);
    }

    private static Optional<StoredObject> find(Map<String, StoredObject> stored, ObjectKey key) {
        return Optional.ofNullable(stored.get(key.toString()));
    }

    private List<StoredObject> changes(PlatformEffect.Watch watch) {
        return objects.values().stream()
                .filter(object -> object.key().kind().equals(watch.kind()) && object.version() > watch.afterVersion())
                .sorted(Comparator.comparingLong(StoredObject::version))
                .toList();
    }

    private void answer(DrivenNode node, PlatformEvent event) {
        driver.schedule(answerDelayMillis, () -> node.accept(event));
    }

    private static void fail(DrivenNode node, long token) {
        node.accept(new PlatformEvent.Unavailable(token, true, "outage"));
    }

    /** The kinds of calls that are counted. */
    public enum Kind {
        READ,
        WRITE,
        LIST,
        WATCH;

        private static Kind of(PlatformEffect call) {
            if (call instanceof PlatformEffect.Watch) {
                return WATCH;
            }
            if (call instanceof PlatformEffect.Read) {
                return READ;
            }
            boolean changes = call instanceof PlatformEffect.Write || call instanceof PlatformEffect.Delete;
            return changes ? WRITE : LIST;
        }
    }

    private record PendingWatch(DrivenNode node, PlatformEffect.Watch call, long sinceMillis) {}
}
