package io.yuccaswitch.testkit.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** A cache of prompt prefixes that evicts the least recently used one, and publishes events late and with gaps. */
final class PrefixCache {

    /** The number of events that are kept for readers. */
    private static final int KEPT_EVENTS = 4096;

    /** The options of the engine. */
    private final EngineOptions options;

    /** The source of randomness for lost events. */
    private final SplittableRandom random;

    /** The cached prefixes, the least recently used one first. */
    private final Map<Long, Boolean> prefixes = new LinkedHashMap<>(16, 0.75f, true);

    /** The latest events. */
    private final Deque<CacheEvent> events = new ArrayDeque<>();

    /** The number of the latest event. */
    private long sequence;

    /**
     * Creates an empty cache.
     *
     * @param options The options of the engine.
     */
    PrefixCache(EngineOptions options) {
        this.options = options;
        random = new SplittableRandom(options.seed);
    }

    /**
     * Looks up a prompt and caches its prefixes.
     *
     * @param prompt The prompt.
     * @return The number of prompt tokens that were cached before.
     */
    synchronized int use(Prompt prompt) {
        int cached = 0;
        boolean unbroken = true;
        for (long hash : prompt.prefixHashes()) {
            boolean known = prefixes.put(hash, Boolean.TRUE) != null;
            unbroken &= known;
            cached += unbroken ? 1 : 0;
            if (!known) {
                publish(hash, true);
            }
        }
        evict();
        return Prompt.prefixTokens(cached);
    }

    /**
     * Returns the used share of the cache.
     *
     * @return The used share, between zero and one.
     */
    synchronized double use() {
        return options.cachedPrefixes == 0 ? 0 : (double) prefixes.size() / options.cachedPrefixes;
    }

    /**
     * Reads the events that are old enough to be published.
     *
     * @param after The number of the last event that the reader knows.
     * @return The events after it, in their order.
     */
    synchronized List<CacheEvent> eventsAfter(long after) {
        long visible = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(options.reportLagMillis);
        List<CacheEvent> found = new ArrayList<>();
        for (CacheEvent event : events) {
            if (event.sequence() > after && event.at() - visible <= 0) {
                found.add(event);
            }
        }
        return found;
    }

    /** Evicts the least recently used prefixes until the rest fits. */
    private void evict() {
        Iterator<Long> oldest = prefixes.keySet().iterator();
        while (prefixes.size() > options.cachedPrefixes) {
            publish(oldest.next(), false);
            oldest.remove();
        }
    }

    /**
     * Publishes an event, or loses it.
     *
     * @param hash The hash of the prefix.
     * @param cached Whether the prefix is cached now.
     */
    private void publish(long hash, boolean cached) {
        sequence++;
        if (random.nextDouble() < options.cacheEventLoss) {
            return;
        }
        events.add(new CacheEvent(sequence, hash, cached, System.nanoTime()));
        if (events.size() > KEPT_EVENTS) {
            events.remove();
        }
    }

    /**
     * A change of the cache.
     *
     * @param sequence The number of the event.
     * @param prefixHash The hash of the prefix.
     * @param cached Whether the prefix is cached now.
     * @param at The time of the change in nanoseconds.
     */
    record CacheEvent(long sequence, long prefixHash, boolean cached, long at) {}
}
