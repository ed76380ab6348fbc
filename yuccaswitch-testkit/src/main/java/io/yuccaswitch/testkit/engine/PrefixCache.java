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

/**
 * A cache of prompt prefixes with least-recently-used eviction. It publishes its events with a delay and loses some of
 * them.
 */
final class PrefixCache {

    /** The maximum number of events that are retained for readers. */
    private static final int MAXIMUM_EVENTS = 4096;

    /** The options of the engine. */
    private final EngineOptions options;

    /** The source of randomness for lost events. */
    private final SplittableRandom random;

    /** The cached prefixes, the least recently used one first. */
    private final Map<Long, Boolean> prefixes = new LinkedHashMap<>(16, 0.75f, true);

    /** The retained events, oldest first. */
    private final Deque<CacheEvent> events = new ArrayDeque<>();

    /** The sequence number of the latest event. */
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
     * @return The number of prompt tokens that were already cached.
     */
    synchronized int use(Prompt prompt) {
        int cached = 0;
        boolean contiguous = true;
        for (long hash : prompt.prefixHashes()) {
            boolean alreadyCached = prefixes.put(hash, Boolean.TRUE) != null;
            contiguous &= alreadyCached;
            cached += contiguous ? 1 : 0;
            if (!alreadyCached) {
                publish(hash, true);
            }
        }
        evict();
        return Prompt.prefixTokens(cached);
    }

    /**
     * Returns the utilization of the cache.
     *
     * @return The utilization, between zero and one.
     */
    synchronized double use() {
        return options.cachedPrefixes == 0 ? 0 : (double) prefixes.size() / options.cachedPrefixes;
    }

    /**
     * Returns the events that are past the publication delay.
     *
     * @param after The sequence number of the last event that the reader has received.
     * @return The later events, in sequence order.
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

    /** Evicts the least recently used prefixes until the cache is within its limit. */
    private void evict() {
        Iterator<Long> oldest = prefixes.keySet().iterator();
        while (prefixes.size() > options.cachedPrefixes) {
            publish(oldest.next(), false);
            oldest.remove();
        }
    }

    /**
     * Publishes an event, or loses it with the configured probability.
     *
     * @param hash The hash of the prefix.
     * @param cached Whether the prefix was added; {@code false} if it was evicted.
     */
    private void publish(long hash, boolean cached) {
        sequence++;
        if (random.nextDouble() < options.cacheEventLoss) {
            return;
        }
        events.add(new CacheEvent(sequence, hash, cached, System.nanoTime()));
        if (events.size() > MAXIMUM_EVENTS) {
            events.remove();
        }
    }

    /**
     * A change of the cache.
     *
     * @param sequence The sequence number of the event.
     * @param prefixHash The hash of the prefix.
     * @param cached Whether the prefix was added; {@code false} if it was evicted.
     * @param at The time of the change in nanoseconds.
     */
    record CacheEvent(long sequence, long prefixHash, boolean cached, long at) {}
}
