package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;

/**
 * The rates at which engines generate the events of this node's items, used to detect engines that have become slow or
 * silent. Engines may become several times slower in the middle of an attempt, so the rate since the last reading is
 * used: the mean over a long attempt would hide a change for seconds.
 */
final class EngineRates {

    /** The weight of the newest reading in an engine's mean rate: a change is visible after two or three readings. */
    private static final double NEWEST_READING_WEIGHT = 0.5;

    /**
     * The share of the other engines' median rate below which an engine is slow. Rates of full batches differ far less.
     */
    static final double SLOW_RATE_SHARE = 0.45;

    /**
     * How long readings must consistently show an engine as slow, or as not slow, before its state changes: two
     * readings of the attempts.
     */
    static final Duration MINIMUM_EVIDENCE = Duration.ofMillis(450);

    /** The share of the usual rate below which an engine is taken for silent. */
    static final double SILENT_RATE_SHARE = 0.1;

    /** How long a reading is retained. */
    private static final Duration READING_RETENTION = Duration.ofSeconds(10);

    /**
     * How long an engine is considered slow without a further reading. Without this limit, a node that has no items at
     * the engine would consider it slow until its next step, and start that step with too few engines (two of six had
     * one item each for 0.7 s).
     */
    static final Duration SLOW_VALIDITY = Duration.ofSeconds(3);

    /** The maximum time between two readings that determine when a slowdown ended: two reading intervals. */
    private static final Duration MAXIMUM_READING_GAP = Duration.ofMillis(500);

    /** The engines, by name. */
    private final Map<EndpointName, Row> rows = new HashMap<>();

    /** The engines that are considered slow. */
    private final Set<EndpointName> slow = new HashSet<>();

    /** The durations of the slowdowns that were observed to their end. */
    private final SlowdownHistory slowdowns = new SlowdownHistory();

    /**
     * Adds a reading.
     *
     * @param engine The engine.
     * @param reading The progress of its attempts since the last reading.
     * @param now The current time.
     */
    void addReading(EndpointName engine, Reading reading, MonotonicTime now) {
        rows.values().removeIf(row -> now.since(row.at).compareTo(READING_RETENTION) > 0);
        slow.removeIf(name -> !isSlow(name, now));
        rows.computeIfAbsent(engine, _engine -> new Row(reading)).update(reading, now);
    }

    /**
     * Evaluates an engine by its last reading, after the readings of all engines have been added.
     *
     * @param engine The engine.
     * @return The change of the state of the engine.
     */
    Verdict evaluate(EndpointName engine) {
        return evaluate(engine, MINIMUM_EVIDENCE);
    }

    /**
     * Evaluates an engine by its last reading, after the readings of all engines have been added.
     *
     * @param engine The engine.
     * @param requiredEvidence How long readings must consistently show the same state before it is confirmed.
     * @return The change of the state of the engine.
     */
    Verdict evaluate(EndpointName engine, Duration requiredEvidence) {
        Row row = rows.get(engine);
        double median = medianRate(engine);
        if (row == null || median <= 0) {
            return Verdict.UNCHANGED;
        }
        boolean belowThreshold = row.last.perSecond() < SLOW_RATE_SHARE * median;
        row.addEvidence(belowThreshold);
        boolean confirmed = row.evidence.compareTo(requiredEvidence) >= 0;
        row.trackSlowdown(median, confirmed || !slow.contains(engine))
                .ifPresent(duration -> slowdowns.add(duration, row.slowRateShare(), row.at));
        if (confirmed && belowThreshold && slow.add(engine)) {
            return Verdict.TURNED_SLOW;
        }
        return confirmed && !belowThreshold && slow.remove(engine) ? Verdict.RECOVERED : Verdict.UNCHANGED;
    }

    /**
     * Returns whether an engine is considered slow.
     *
     * @param engine The engine.
     * @param now The current time.
     * @return {@code true} if its readings showed it as slow, none has shown otherwise since, and the last one is
     *     recent.
     */
    boolean isSlow(EndpointName engine, MonotonicTime now) {
        return slow.contains(engine)
                && rows.containsKey(engine)
                && now.since(rows.get(engine).at).compareTo(SLOW_VALIDITY) < 0;
    }

    /**
     * Describes an engine's last reading for logs.
     *
     * @param engine The engine.
     * @return The description.
     */
    String describe(EndpointName engine) {
        Row row = rows.get(engine);
        return row == null
                ? "not read"
                : String.format("%.1f events/s of %.1f", row.last.perSecond(), medianRate(engine));
    }

    /**
     * Returns whether an engine's last reading is below the threshold.
     *
     * @param engine The engine.
     * @return {@code true} if its rate is far below that of the other engines.
     */
    boolean isBelowThreshold(EndpointName engine) {
        Row row = rows.get(engine);
        return row != null && row.last.perSecond() < SLOW_RATE_SHARE * medianRate(engine);
    }

    /**
     * Returns whether an engine has made hardly any event during its slowdown. A single reading without events does not
     * show this: an engine that is four times slower makes an event in 200 ms.
     *
     * @param engine The engine.
     * @return {@code true} if it is taken for silent.
     */
    boolean isSilent(EndpointName engine) {
        return slowRateShare(engine) < SILENT_RATE_SHARE;
    }

    /**
     * Returns for how long the latest readings have consistently shown an engine as slow.
     *
     * @param engine The engine.
     * @return The time from the beginning of the first of these readings to the end of the last one, or empty if the
     *     last reading does not show the engine as slow.
     */
    Optional<Duration> belowThresholdFor(EndpointName engine) {
        return Optional.ofNullable(rows.get(engine))
                .filter(row -> row.belowThreshold)
                .flatMap(row -> row.slowSince.map(row.at::since));
    }

    /**
     * Returns the time since the last reading of an engine.
     *
     * @param engine The engine.
     * @param now The current time.
     * @return The time, or empty if there is no reading.
     */
    Optional<Duration> readingAge(EndpointName engine, MonotonicTime now) {
        return Optional.ofNullable(rows.get(engine)).map(row -> now.since(row.at));
    }

    /**
     * Returns an engine's mean rate during its slowdown, as a share of the usual rate.
     *
     * @param engine The engine.
     * @return The share, or 1 if the engine was not slow.
     */
    double slowRateShare(EndpointName engine) {
        return Optional.ofNullable(rows.get(engine)).map(Row::slowRateShare).orElse(1.0);
    }

    /**
     * Returns the engines with a reading.
     *
     * @return Their names.
     */
    Set<EndpointName> engines() {
        return Set.copyOf(rows.keySet());
    }

    /**
     * Returns the durations of the slowdowns that were observed to their end.
     *
     * @return The durations.
     */
    SlowdownHistory slowdowns() {
        return slowdowns;
    }

    /**
     * Returns the median rate of the other engines of an engine's pool.
     *
     * @param engine The engine.
     * @return The events per second of one item, or 0 if there is no reading of another engine.
     */
    double medianRate(EndpointName engine) {
        List<Double> others = rows.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(engine))
                .filter(entry -> entry.getKey().pool().equals(engine.pool()))
                .map(entry -> entry.getValue().mean)
                .sorted()
                .toList();
        return others.isEmpty() ? 0 : others.get(others.size() / 2);
    }

    /**
     * Returns the median rate of the engines of pools.
     *
     * @param pools The pools.
     * @return The events per second of one item, or empty if no engine of the pools was measured.
     */
    OptionalDouble medianRate(Set<PoolName> pools) {
        double[] rates = rows.entrySet().stream()
                .filter(entry -> pools.contains(entry.getKey().pool()))
                .mapToDouble(entry -> entry.getValue().mean)
                .sorted()
                .toArray();
        return rates.length == 0 ? OptionalDouble.empty() : OptionalDouble.of(rates[rates.length / 2]);
    }

    /** The change of the state of an engine by a reading. */
    enum Verdict {
        /** The state is unchanged. */
        UNCHANGED,
        /** The engine is now considered slow. */
        TURNED_SLOW,
        /** The engine is no longer considered slow. */
        RECOVERED
    }

    /**
     * The progress of the attempts at an engine since the last reading.
     *
     * @param events The number of events of all attempts.
     * @param seconds The total running time of the attempts, in seconds.
     * @param span The time since the last reading.
     */
    record Reading(double events, double seconds, Duration span) {

        /**
         * Creates the reading of one attempt.
         *
         * @param events The number of its events.
         * @param time Its running time.
         * @return The reading.
         */
        static Reading of(long events, Duration time) {
            return new Reading(events, time.toNanos() / 1e9, time);
        }

        /**
         * Combines the readings of attempts at the same engine.
         *
         * @param other The other reading.
         * @return The combined reading.
         */
        Reading join(Reading other) {
            return new Reading(
                    events + other.events, seconds + other.seconds, span.compareTo(other.span) < 0 ? other.span : span);
        }

        /**
         * Returns the mean rate of one attempt.
         *
         * @return The events per second.
         */
        double perSecond() {
            return events / Math.max(1e-3, seconds);
        }
    }

    /** The state of one engine. */
    private static final class Row {

        /** The last reading. */
        private Reading last;

        /** The mean rate, in events per second. */
        private double mean;

        /** When the last reading was added. */
        private MonotonicTime at = new MonotonicTime(Long.MIN_VALUE / 2);

        /** Whether the latest readings show the engine as slow. */
        private boolean belowThreshold;

        /** The time over which the readings have consistently shown the same state. */
        private Duration evidence = Duration.ZERO;

        /** When the current slowdown began, if there is one. */
        private Optional<MonotonicTime> slowSince = Optional.empty();

        /** The number of events of the readings of the current or last slowdown. */
        private double slowEvents;

        /** The number of events that these readings would have had at the usual rate. */
        private double usualEvents;

        /** When the last reading that showed the engine as slow was added. */
        private MonotonicTime lastSlowAt = new MonotonicTime(Long.MIN_VALUE / 2);

        /** When the first of the latest readings that did not show the engine as slow was added. */
        private Optional<MonotonicTime> normalSince = Optional.empty();

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
         * Adds a reading.
         *
         * @param reading The reading.
         * @param now The current time.
         */
        private void update(Reading reading, MonotonicTime now) {
            last = reading;
            mean = mean * (1 - NEWEST_READING_WEIGHT) + reading.perSecond() * NEWEST_READING_WEIGHT;
            at = now;
        }

        /**
         * Adds the last reading to the evidence.
         *
         * @param isBelowThreshold Whether it shows the engine as slow.
         */
        private void addEvidence(boolean isBelowThreshold) {
            evidence = isBelowThreshold == belowThreshold ? evidence.plus(last.span()) : last.span();
            belowThreshold = isBelowThreshold;
        }

        /**
         * Returns the mean rate during the current or last slowdown, as a share of the usual rate.
         *
         * @return The share, or 1 if the engine was not slow.
         */
        private double slowRateShare() {
            return usualEvents > 0 ? slowEvents / usualEvents : 1;
        }

        /**
         * Tracks when the current slowdown began and ended. Its end lies between the last reading that showed the
         * engine as slow and the next one; the middle is used. If these readings are far apart, the duration is
         * unknown: items left the engine because it was slow, and the middle would be far from the end.
         *
         * @param usualRate The usual rate.
         * @param endConfirmed Whether a reading that does not show the engine as slow ends the slowdown.
         * @return The duration of the slowdown, if one ended and its duration is known.
         */
        private Optional<Duration> trackSlowdown(double usualRate, boolean endConfirmed) {
            if (belowThreshold) {
                if (slowSince.isEmpty() || at.since(lastSlowAt).compareTo(SLOW_VALIDITY) > 0) {
                    slowSince = Optional.of(at.plus(last.span().negated()));
                    slowEvents = 0;
                    usualEvents = 0;
                }
                slowEvents += last.events();
                usualEvents += last.seconds() * usualRate;
                lastSlowAt = at;
                normalSince = Optional.empty();
                return Optional.empty();
            }
            if (slowSince.isEmpty()) {
                return Optional.empty();
            }
            MonotonicTime normal = normalSince.orElse(at);
            normalSince = Optional.of(normal);
            if (!endConfirmed) {
                return Optional.empty();
            }
            Duration gap = normal.since(lastSlowAt);
            Duration duration = lastSlowAt.plus(gap.dividedBy(2)).since(slowSince.get());
            slowSince = Optional.empty();
            return gap.compareTo(MAXIMUM_READING_GAP) <= 0 ? Optional.of(duration) : Optional.empty();
        }
    }
}
