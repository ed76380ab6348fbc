package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** How fast engines make the events of this node's items, by which an engine that has turned slow is told. */
final class EngineRates {

    /** The weight of the newest measurement. */
    private static final double NEWEST_WEIGHT = 0.4;

    /** The share of the other engines' median rate below which an engine is slow. Full batches differ far less. */
    private static final double SLOW_SHARE = 0.42;

    /** For how long a measurement counts. */
    private static final Duration MEMORY = Duration.ofSeconds(10);

    /** The rates in events a second, by engine. */
    private final Map<EndpointName, Rate> rates = new HashMap<>();

    /**
     * Takes a measurement.
     *
     * @param engine The engine.
     * @param perSecond The events a second of one item.
     * @param now The present.
     */
    void measure(EndpointName engine, double perSecond, MonotonicTime now) {
        rates.values().removeIf(rate -> now.since(rate.at()).compareTo(MEMORY) > 0);
        Rate before = rates.get(engine);
        double mean = before == null ? perSecond : before.perSecond() * (1 - NEWEST_WEIGHT) + perSecond * NEWEST_WEIGHT;
        rates.put(engine, new Rate(mean, now));
    }

    /**
     * Returns whether an engine is much slower than the others.
     *
     * @param engine The engine.
     * @param now The present.
     * @return {@code true} if it is, as far as other engines were measured.
     */
    boolean isSlow(EndpointName engine, MonotonicTime now) {
        Rate own = rates.get(engine);
        List<Double> others = rates.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(engine))
                .filter(entry -> entry.getKey().pool().equals(engine.pool()))
                .filter(entry -> now.since(entry.getValue().at()).compareTo(MEMORY) <= 0)
                .map(entry -> entry.getValue().perSecond())
                .sorted()
                .toList();
        return own != null && !others.isEmpty() && own.perSecond() < SLOW_SHARE * others.get(others.size() / 2);
    }

    /**
     * A rate.
     *
     * @param perSecond The events a second of one item.
     * @param at When it was last measured.
     */
    private record Rate(double perSecond, MonotonicTime at) {}
}
