package io.yuccaswitch.core.driver;

import io.yuccaswitch.core.platform.ObjectKey;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.value.Bytes;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

/** A small platform for a {@link CoreDriver}: objects with versions, watches, outages and a replica that is behind. */
public final class DrivenPlatform {

    private static final long CALL_MILLIS = 5;
    private static final long TIMEOUT_MILLIS = 200;
    private static final long WATCH_MILLIS = 10_000;

    private final CoreDriver driver;
    private final Map<String, StoredObject> objects = new TreeMap<>();
    private final Map<Kind, Integer> calls = new EnumMap<>(Kind.class);
    private final List<Waiting> watches = new ArrayList<>();
    private Predicate<DrivenNode> unreachable = _node -> false;
    private Optional<Map<String, StoredObject>> replica = Optional.empty();
    private List<PlatformEvent.VirtualMachine> virtualMachines = List.of();
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

    public void downFor(Predicate<DrivenNode> nodes) {
        unreachable = nodes;
    }

    /** From now on, reads and lists answer what is stored at this time, while watches go on as usual. */
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
        for (Waiting waiting : List.copyOf(watches)) {
            boolean over = driver.nowMillis() - waiting.since() >= WATCH_MILLIS;
            if (unreachable.test(waiting.node())) {
                watches.remove(waiting);
                fail(waiting.node(), waiting.call().token());
            } else if (over || !changes(waiting.call()).isEmpty()) {
                watches.remove(waiting);
                List<StoredObject> changes = changes(waiting.call());
                answer(
                        waiting.node(),
                        new PlatformEvent.ObjectsListed(waiting.call().token(), changes, version, false));
            }
        }
    }

    void call(DrivenNode node, PlatformEffect call) {
        calls.merge(Kind.of(call), 1, Integer::sum);
        if (unreachable.test(node)) {
            driver.later(TIMEOUT_MILLIS, () -> fail(node, call.token()));
        } else if (call instanceof PlatformEffect.Watch watch) {
            watches.add(new Waiting(node, watch, driver.nowMillis()));
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
        driver.later(CALL_MILLIS, () -> node.accept(event));
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

    private record Waiting(DrivenNode node, PlatformEffect.Watch call, long since) {}
}
