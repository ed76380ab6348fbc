package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * How fast engines make the events of this node's items, by which an engine that has turned slow or silent is told. It
 * answers engines that turn several times slower in the middle of their work: what counts is the rate since the last
 * reading, as the mean over a long attempt hides a change for seconds.
 */
final class EngineRates {

    /** The weight of the newest reading in an engine's rate: a change shows after two or three readings. */
    private static final double NEWEST_WEIGHT = 0.5;

    /** The share of the other engines' median rate below which an engine is slow. Full batches differ far less. */
    private static final double SLOW_SHARE = 0.45;

    /** For how long an engine must have been slow, or not, before that is believed: two readings of the attempts. */
    private static final Duration EVIDENCE = Duration.ofMillis(450);

    /** For how long a reading counts. */
    private static final Duration MEMORY = Duration.ofSeconds(10);

    /**
     * For how long an engine is taken to be slow without a further reading. A node that has no items there would think
     * so until its next step, and begin it with too few engines (two of six held one item each for 0.7 s).
     */
    private static final Duration SLOW_MEMORY = Duration.ofSeconds(3);

    /** The engines, by name. */
    private final Map<EndpointName, Row> rows = new HashMap<>();

    /** The engines that are taken to be slow. */
    private final Set<EndpointName> slow = new HashSet<>();

    /**
     * Takes a reading.
     *
     * @param engine The engine.
     * @param reading What its attempts have made since the last reading.
     * @param now The present.
     */
    void read(EndpointName engine, Reading reading, MonotonicTime now) {
        rows.values().removeIf(row -> now.since(row.at).compareTo(MEMORY) > 0);
        slow.removeIf(known -> !isSlow(known, now));
        rows.computeIfAbsent(engine, _engine -> new Row(reading)).take(reading, now);
    }

    /**
     * Judges an engine by its last reading, after those of all engines were taken.
     *
     * @param engine The engine.
     * @return What the reading changed.
     */
    Verdict judge(EndpointName engine) {
        Row row = rows.get(engine);
        double usual = usualRate(engine);
        if (row == null || usual <= 0) {
            return Verdict.UNCHANGED;
        }
        boolean bad = row.last.perSecond() < SLOW_SHARE * usual;
        row.count(bad);
        boolean believed = row.evidence.compareTo(EVIDENCE) >= 0;
        if (believed && bad && slow.add(engine)) {
            return Verdict.TURNED_SLOW;
        }
        return believed && !bad && slow.remove(engine) ? Verdict.RECOVERED : Verdict.UNCHANGED;
    }

    /**
     * Returns whether an engine is taken to be slow.
     *
     * @param engine The engine.
     * @param now The present.
     * @return {@code true} if its readings said so, none has said otherwise since, and the last one is not old.
     */
    boolean isSlow(EndpointName engine, MonotonicTime now) {
        return slow.contains(engine)
                && rows.containsKey(engine)
                && now.since(rows.get(engine).at).compareTo(SLOW_MEMORY) < 0;
    }

    /**
     * Describes an engine's last reading, for logs.
     *
     * @param engine The engine.
     * @return The description.
     */
    String describe(EndpointName engine) {
        Row row = rows.get(engine);
        return row == null
                ? "not read"
                : String.format("%.1f events/s of %.1f", row.last.perSecond(), usualRate(engine));
    }

    /**
     * Returns the median rate of the other engines of a pool.
     *
     * @param engine The engine.
     * @return The events a second of one item, or 0 if no other engine was read.
     */
    private double usualRate(EndpointName engine) {
        List<Double> others = rows.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(engine))
                .filter(entry -> entry.getKey().pool().equals(engine.pool()))
                .map(entry -> entry.getValue().mean)
                .sorted()
                .toList();
        return others.isEmpty() ? 0 : others.get(others.size() / 2);
    }

    /** What a reading changed. */
    enum Verdict {
        /** Nothing. */
        UNCHANGED,
        /** The engine is taken to be slow from now on. */
        TURNED_SLOW,
        /** The engine is not taken to be slow any more. */
        RECOVERED
    }

    /**
     * What the attempts at an engine have made since the last reading.
     *
     * @param events The number of events of all attempts.
     * @param seconds For how long the attempts have run, added up.
     * @param span The time since the last reading.
     */
    record Reading(double events, double seconds, Duration span) {

        /**
         * Creates the reading of one attempt.
         *
         * @param events The number of its events.
         * @param time For how long it has run.
         * @return The reading.
         */
        static Reading of(long events, Duration time) {
            return new Reading(events, time.toNanos() / 1e9, time);
        }

        /**
         * Joins the readings of attempts at the same engine.
         *
         * @param other The other reading.
         * @return The reading of all.
         */
        Reading join(Reading other) {
            return new Reading(
                    events + other.events, seconds + other.seconds, span.compareTo(other.span) < 0 ? other.span : span);
        }

        /**
         * Returns the rate of one attempt.
         *
         * @return The events a second.
         */
        double perSecond() {
            return events / Math.max(1e-3, seconds);
        }
    }

    /** What is known of one engine. */
    private static final class Row {

        /** The last reading. */
        private Reading last;

        /** The mean rate, in events a second. */
        private double mean;

        /** When it was last read. */
        private MonotonicTime at = new MonotonicTime(Long.MIN_VALUE / 2);

        /** Whether the readings said that it is slow. */
        private boolean bad;

        /** For how long the readings have said the same. */
        private Duration evidence = Duration.ZERO;

        /**
         * Creates a row.
         *
         * @param first The first reading.
         */
        private Row(Reading first) {
            last = first;
            mean = first.perSecond();
        }

        /**
         * Takes a reading.
         *
         * @param reading The reading.
         * @param now The present.
         */
        private void take(Reading reading, MonotonicTime now) {
            last = reading;
            mean = mean * (1 - NEWEST_WEIGHT) + reading.perSecond() * NEWEST_WEIGHT;
            at = now;
        }

        /**
         * Counts the last reading as evidence.
         *
         * @param said Whether it said that the engine is slow.
         */
        private void count(boolean said) {
            evidence = said == bad ? evidence.plus(last.span()) : last.span();
            bad = said;
        }
    }
}
