package io.yuccaswitch.core.limit;

import io.yuccaswitch.core.configuration.PriorityClass;
import io.yuccaswitch.core.identity.CallerName;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * A queue that serves higher priority classes first and, within a class, divides service among callers by their weights
 * (start-time fair queueing with unit cost). An idle caller does not accumulate credit. An instance is confined to the
 * thread of the decision core.
 *
 * @param <K> The type of the entries' keys.
 */
public final class FairQueue<K> {

    /** The maximum number of entries of a flow that are inspected to find a servable one. */
    private static final int SCAN_LIMIT = 32;

    /** The flows of each priority class. */
    private final Map<PriorityClass, FlowGroup<K>> classes = new EnumMap<>(PriorityClass.class);

    /** The entries by their keys, in the order of their arrival: hash codes of keys may differ between JVMs. */
    private final Map<K, Entry<K>> entries = new LinkedHashMap<>();

    /** The number of bytes of all entries. */
    private long bytes;

    /** Creates a new, empty queue that serves the entries of a caller in the order of their arrival. */
    public FairQueue() {
        this(Optional.empty());
    }

    /**
     * Creates a new, empty queue.
     *
     * @param order The order in which the entries of one caller are served. Equal ones are served by arrival.
     */
    public FairQueue(Comparator<Entry<K>> order) {
        this(Optional.of(order));
    }

    /**
     * Creates a new, empty queue.
     *
     * @param order The order in which the entries of one caller are served, or empty for that of their arrival.
     */
    private FairQueue(Optional<Comparator<Entry<K>>> order) {
        for (PriorityClass priority : PriorityClass.values()) {
            classes.put(priority, new FlowGroup<>(order));
        }
    }

    /**
     * Adds an entry. The queue itself is unbounded: admission enforces limits by means of {@link #size()} and
     * {@link #bytes()}.
     *
     * @param entry The entry to add, whose key must not be queued.
     */
    public void add(Entry<K> entry) {
        if (entries.putIfAbsent(entry.key(), entry) != null) {
            throw new IllegalStateException("Already queued: " + entry.key());
        }
        bytes += entry.bytes();
        classes.get(entry.priority()).add(entry);
    }

    /**
     * Removes and returns the next entry among those that can be served now.
     *
     * @param servable Determines whether an entry can be served now.
     * @return The entry, or empty if none can be served now.
     */
    public Optional<Entry<K>> poll(Predicate<Entry<K>> servable) {
        PriorityClass[] priorities = PriorityClass.values();
        for (int index = priorities.length - 1; index >= 0; index--) {
            Optional<Entry<K>> next = classes.get(priorities[index]).poll(servable);
            if (next.isPresent()) {
                removeFromIndex(next.get());
                return next;
            }
        }
        return Optional.empty();
    }

    /**
     * Removes an entry.
     *
     * @param key The key of the entry.
     * @return {@code true} if the entry was queued.
     */
    public boolean remove(K key) {
        Entry<K> entry = entries.get(key);
        if (entry == null) {
            return false;
        }
        classes.get(entry.priority()).remove(entry);
        removeFromIndex(entry);
        return true;
    }

    /**
     * Removes the most recent entry of the lowest class below a given class, to free capacity.
     *
     * @param priority The class that needs capacity.
     * @return The removed entry, or empty if no entry is of a lower class.
     */
    public Optional<Entry<K>> shedBelow(PriorityClass priority) {
        for (PriorityClass lower : PriorityClass.values()) {
            if (lower.compareTo(priority) >= 0) {
                return Optional.empty();
            }
            Optional<Entry<K>> youngest = classes.get(lower).youngest();
            if (youngest.isPresent()) {
                remove(youngest.get().key());
                return youngest;
            }
        }
        return Optional.empty();
    }

    /**
     * Counts the entries that are served before a new one of a class, assuming that all callers have the same backlog.
     *
     * @param priority The class.
     * @return The number of entries in this class and in those above it.
     */
    public int ahead(PriorityClass priority) {
        int count = 0;
        for (Map.Entry<PriorityClass, FlowGroup<K>> group : classes.entrySet()) {
            if (group.getKey().compareTo(priority) >= 0) {
                count += group.getValue().size();
            }
        }
        return count;
    }

    /**
     * Counts the entries that are served before a queued one by fair order, without any restriction on what can be
     * served.
     *
     * @param key The key of the entry, which must be queued.
     * @return The number of entries of its class with an earlier turn, and of all entries of the classes above.
     */
    public int aheadOf(K key) {
        Entry<K> entry = entries.get(key);
        int count = classes.get(entry.priority()).aheadOf(entry);
        for (Map.Entry<PriorityClass, FlowGroup<K>> group : classes.entrySet()) {
            if (group.getKey().compareTo(entry.priority()) > 0) {
                count += group.getValue().size();
            }
        }
        return count;
    }

    /**
     * Removes the most recent entry of the caller with the longest backlog, if that backlog exceeds a length.
     *
     * @param length The length.
     * @return The removed entry, or empty if no caller has a longer backlog.
     */
    public Optional<Entry<K>> shedFromBacklogAbove(int length) {
        Optional<Entry<K>> youngest = classes.values().stream()
                .filter(group -> group.longestBacklog() > length)
                .max(Comparator.comparingInt(FlowGroup::longestBacklog))
                .flatMap(FlowGroup::youngest);
        youngest.ifPresent(entry -> remove(entry.key()));
        return youngest;
    }

    /**
     * Returns the queued entries.
     *
     * @return The entries in the order of their arrival.
     */
    public List<Entry<K>> entries() {
        return List.copyOf(entries.values());
    }

    /**
     * Returns the number of entries.
     *
     * @return The number of entries.
     */
    public int size() {
        return entries.size();
    }

    /**
     * Returns the number of bytes of all entries.
     *
     * @return The number of bytes.
     */
    public long bytes() {
        return bytes;
    }

    /**
     * Removes an entry from the index.
     *
     * @param entry The entry.
     */
    private void removeFromIndex(Entry<K> entry) {
        entries.remove(entry.key());
        bytes -= entry.bytes();
    }

    /**
     * An entry of the queue.
     *
     * @param key The key, unique within the queue.
     * @param caller The caller to whose share the entry is charged.
     * @param weight The weight of the caller, at least one.
     * @param priority The priority class.
     * @param bytes The number of bytes that the entry occupies in memory.
     * @param <K> The type of the key.
     */
    public record Entry<K>(K key, CallerName caller, int weight, PriorityClass priority, int bytes) {}

    /**
     * The flows of one class.
     *
     * @param <K> The type of the entries' keys.
     */
    private static final class FlowGroup<K> {

        /** The flows by caller. */
        private final Map<CallerName, Flow<K>> flows = new LinkedHashMap<>();

        /** The order of the entries of one caller, or empty for that of their arrival. */
        private final Optional<Comparator<Entry<K>>> order;

        /** The start tag of the entry that was served last. */
        private double virtualTime;

        /** The number of entries. */
        private int size;

        /**
         * Creates a group without entries.
         *
         * @param order The order of the entries of one caller, or empty for that of their arrival.
         */
        FlowGroup(Optional<Comparator<Entry<K>>> order) {
            this.order = order;
        }

        /**
         * Adds an entry.
         *
         * @param entry The entry to add.
         */
        void add(Entry<K> entry) {
            Flow<K> flow = flows.computeIfAbsent(entry.caller(), _caller -> new Flow<>(order));
            if (flow.waiting.isEmpty()) {
                flow.startTag = Math.max(flow.startTag, virtualTime);
            }
            flow.waiting.put(entry.key(), entry);
            size++;
        }

        /**
         * Removes and returns the next entry.
         *
         * @param servable Determines whether an entry can be served now.
         * @return The entry, or empty if none can be served now.
         */
        Optional<Entry<K>> poll(Predicate<Entry<K>> servable) {
            if (size == 0) {
                return Optional.empty();
            }
            List<Flow<K>> byStartTag = new ArrayList<>(flows.values());
            byStartTag.removeIf(flow -> flow.waiting.isEmpty());
            byStartTag.sort(Comparator.comparingDouble(flow -> flow.startTag));
            for (Flow<K> flow : byStartTag) {
                Optional<Entry<K>> entry = flow.find(servable);
                if (entry.isPresent()) {
                    serve(flow, entry.get());
                    return entry;
                }
            }
            return Optional.empty();
        }

        /**
         * Removes an entry and charges it to its caller.
         *
         * @param flow The flow of the entry.
         * @param entry The entry.
         */
        private void serve(Flow<K> flow, Entry<K> entry) {
            flow.waiting.remove(entry.key());
            size--;
            virtualTime = Math.max(virtualTime, flow.startTag);
            flow.startTag += 1.0 / entry.weight();
            flows.values().removeIf(other -> other.waiting.isEmpty() && other.startTag <= virtualTime);
        }

        /**
         * Removes an entry without charging its caller.
         *
         * @param entry The entry.
         */
        void remove(Entry<K> entry) {
            Flow<K> flow = flows.get(entry.caller());
            flow.waiting.remove(entry.key());
            size--;
        }

        /**
         * Counts the entries with an earlier turn than a queued one.
         *
         * @param entry The entry.
         * @return The number of entries.
         */
        int aheadOf(Entry<K> entry) {
            Flow<K> own = flows.get(entry.caller());
            int before = own.aheadOf(entry);
            double turn = own.startTag + (double) before / entry.weight();
            int count = before;
            for (Flow<K> flow : flows.values()) {
                count += flow == own ? 0 : flow.countUntil(turn);
            }
            return count;
        }

        /**
         * Returns the length of the longest backlog of a caller.
         *
         * @return The number of entries.
         */
        int longestBacklog() {
            return flows.values().stream()
                    .mapToInt(flow -> flow.waiting.size())
                    .max()
                    .orElse(0);
        }

        /**
         * Finds the most recent entry of the caller with the longest backlog.
         *
         * @return The entry, or empty if the class has none.
         */
        Optional<Entry<K>> youngest() {
            return flows.values().stream()
                    .filter(flow -> !flow.waiting.isEmpty())
                    .max(Comparator.comparingInt(flow -> flow.waiting.size()))
                    .map(Flow::last);
        }

        /**
         * Returns the number of entries.
         *
         * @return The number of entries.
         */
        int size() {
            return size;
        }
    }

    /**
     * The entries of one caller in one class.
     *
     * @param <K> The type of the entries' keys.
     */
    private static final class Flow<K> {

        /** The entries in the order of their arrival. */
        private final LinkedHashMap<K, Entry<K>> waiting = new LinkedHashMap<>();

        /** The order in which the entries are served, or empty for that of their arrival. */
        private final Optional<Comparator<Entry<K>>> order;

        /** The virtual time at which the next entry of this flow starts. */
        private double startTag;

        /**
         * Creates a flow without entries.
         *
         * @param order The order in which the entries are served, or empty for that of their arrival.
         */
        Flow(Optional<Comparator<Entry<K>>> order) {
            this.order = order;
        }

        /**
         * Counts the entries that are served before one of this flow.
         *
         * @param entry The entry.
         * @return The number of entries.
         */
        int aheadOf(Entry<K> entry) {
            int count = 0;
            boolean earlier = true;
            for (Entry<K> other : waiting.values()) {
                if (other.key().equals(entry.key())) {
                    earlier = false;
                    continue;
                }
                int compared = order.map(by -> by.compare(other, entry)).orElse(0);
                count += compared < 0 || (compared == 0 && earlier) ? 1 : 0;
            }
            return count;
        }

        /**
         * Counts the entries whose turn comes up to a virtual time.
         *
         * @param turn The virtual time.
         * @return The number of entries.
         */
        int countUntil(double turn) {
            if (waiting.isEmpty() || startTag > turn) {
                return 0;
            }
            int weight = last().weight();
            return (int) Math.min(waiting.size(), Math.floor((turn - startTag) * weight) + 1);
        }

        /**
         * Finds the first entry that can be served now.
         *
         * @param servable Determines whether an entry can be served now.
         * @return The entry, or empty if none of the first entries can be served.
         */
        Optional<Entry<K>> find(Predicate<Entry<K>> servable) {
            if (order.isPresent()) {
                return waiting.values().stream().filter(servable).min(order.get());
            }
            return waiting.values().stream().limit(SCAN_LIMIT).filter(servable).findFirst();
        }

        /**
         * Returns the entry that was added last.
         *
         * @return The entry.
         */
        Entry<K> last() {
            Entry<K> last = null;
            for (Entry<K> entry : waiting.values()) {
                last = entry;
            }
            return last;
        }
    }
}
