package io.yuccaswitch.command.configuration;

import io.yuccaswitch.core.platform.ObjectKey;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.value.Bytes;
import io.yuccaswitch.settings.ConfigurationDocument;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.TreeMap;

/** An in-memory object store whose calls fail as scripted by a test. */
final class FaultyObjectStore implements ObjectStore {

    /** The effect on the next write of the configuration. */
    enum Fault {
        NONE,
        /** The write takes effect, but its answer is lost. */
        ANSWER_LOST,
        /** The request is lost before it takes effect. */
        REQUEST_LOST,
        /** The request was never sent. */
        NOT_SENT,
    }

    private final Map<ObjectKey, StoredObject> objects =
            new TreeMap<>(Comparator.comparing(ObjectKey::kind).thenComparing(ObjectKey::name));

    private final Queue<Fault> faults = new ArrayDeque<>();

    private final Queue<Runnable> beforeReads = new ArrayDeque<>();

    private final List<ObjectKey> writes = new ArrayList<>();

    private Optional<StoredObject> staleObject = Optional.empty();

    private boolean readsFail;

    private boolean historyWritesFail;

    private long version;

    void fail(Fault... next) {
        faults.addAll(List.of(next));
    }

    void readsFail(boolean fail) {
        readsFail = fail;
    }

    void historyWritesFail(boolean fail) {
        historyWritesFail = fail;
    }

    /** Makes reads of an object return this version regardless of later writes. */
    void lag(StoredObject object) {
        staleObject = Optional.of(object);
    }

    /** Runs an action before the next read without a scheduled action. */
    void beforeNextRead(Runnable action) {
        beforeReads.add(action);
    }

    Optional<StoredObject> object(ObjectKey key) {
        return Optional.ofNullable(objects.get(key));
    }

    void remove(ObjectKey key) {
        objects.remove(key);
    }

    long writesOf(ObjectKey key) {
        return writes.stream().filter(key::equals).count();
    }

    @Override
    public ReadResult read(ObjectKey key) {
        Optional.ofNullable(beforeReads.poll()).ifPresent(Runnable::run);
        if (readsFail) {
            return new ReadResult.Unavailable("scripted");
        }
        if (staleObject.filter(object -> object.key().equals(key)).isPresent()) {
            return new ReadResult.Found(staleObject.get());
        }
        return object(key).<ReadResult>map(ReadResult.Found::new).orElseGet(ReadResult.Absent::new);
    }

    @Override
    public Optional<List<StoredObject>> list(String kind) {
        return Optional.of(objects.values().stream()
                .filter(object -> object.key().kind().equals(kind))
                .toList());
    }

    @Override
    public WriteResult write(ObjectKey key, OptionalLong expectedVersion, Bytes value) {
        writes.add(key);
        boolean history = !key.equals(ConfigurationDocument.KEY);
        if (history && historyWritesFail) {
            return new WriteResult.Unavailable(true, "scripted");
        }
        Fault fault = history || faults.isEmpty() ? Fault.NONE : faults.poll();
        if (fault == Fault.NOT_SENT || fault == Fault.REQUEST_LOST) {
            return new WriteResult.Unavailable(fault == Fault.REQUEST_LOST, "scripted");
        }
        Optional<StoredObject> current = object(key);
        boolean matches = expectedVersion.isEmpty()
                ? current.isEmpty()
                : current.isPresent() && current.get().version() == expectedVersion.getAsLong();
        if (matches) {
            version++;
            objects.put(key, new StoredObject(key, version, value, false));
        }
        if (fault == Fault.ANSWER_LOST) {
            return new WriteResult.Unavailable(true, "scripted");
        }
        return matches ? new WriteResult.Accepted(version) : new WriteResult.Conflict(current);
    }

    @Override
    public WriteResult delete(ObjectKey key, long _expectedVersion) {
        objects.remove(key);
        version++;
        return new WriteResult.Accepted(version);
    }

    @Override
    public void close() {}
}
