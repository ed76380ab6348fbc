package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The slowdowns of engines. A node relies on its own readings of an engine while they are recent, and otherwise on the
 * reports of other nodes. Reports state own readings only, so that an erroneous value does not circulate.
 */
final class EngineSpeeds {

    /** The age up to which an own reading takes precedence over reports: four reading intervals. */
    private static final Duration OWN_READING_VALIDITY = Duration.ofSeconds(1);

    /**
     * The time after the last reading of a slow engine until one item is tried there. With the reading interval, an
     * engine that recovers gets work within a second.
     */
    private static final Duration TRIAL_DELAY = Duration.ofMillis(700);

    /**
     * How long a slowdown that was about to end is considered to continue without a further reading: two reading
     * intervals. Lasting ones are valid for {@link EngineRates#SLOW_VALIDITY}: with less, items that had left an engine
     * returned to it within a second.
     */
    private static final Duration TRANSIENT_VALIDITY = Duration.ofMillis(500);

    /** The age up to which a reading is reported: a report of an older one would delay the trials of other nodes. */
    private static final Duration REPORTED_READING_AGE = Duration.ofMillis(500);

    /** The maximum number of engines in a report, to limit its size. */
    private static final int MAXIMUM_REPORTED = 64;

    /** The readings of this node. */
    private final EngineRates rates;

    /** The reports of other nodes. */
    private final RemoteRunnerLoads remoteLoads;

    /** The slowdowns that were determined at the time of the cache. Each start of an item asks for all engines. */
    private final Map<EndpointName, Optional<Slowdown>> cached = new HashMap<>();

    /** The time of the cache. */
    private MonotonicTime cachedAt = new MonotonicTime(Long.MIN_VALUE);

    /**
     * Creates a view of the slowdowns.
     *
     * @param rates The readings of this node.
     * @param remoteLoads The reports of other nodes.
     */
    EngineSpeeds(EngineRates rates, RemoteRunnerLoads remoteLoads) {
        this.rates = rates;
        this.remoteLoads = remoteLoads;
    }

    /**
     * Returns the current slowdown of an engine by the best knowledge of this node.
     *
     * @param engine The engine.
     * @param now The current time.
     * @return The slowdown, or empty if the engine is not known to be slow.
     */
    Optional<Slowdown> slowdown(EndpointName engine, MonotonicTime now) {
        if (!now.equals(cachedAt)) {
            cached.clear();
            cachedAt = now;
        }
        return cached.computeIfAbsent(engine, _engine -> currentSlowdown(engine, now));
    }

    /**
     * Determines the current slowdown of an engine.
     *
     * @param engine The engine.
     * @param now The current time.
     * @return The slowdown, or empty if the engine is not known to be slow.
     */
    private Optional<Slowdown> currentSlowdown(EndpointName engine, MonotonicTime now) {
        if (hasOwnReading(engine, now)) {
            return ownSlowdown(engine, now);
        }
        return remoteLoads
                .slowFor(engine, now)
                .filter(age -> age.compareTo(EngineRates.MINIMUM_EVIDENCE) >= 0)
                .map(age -> slowdown(age, EngineRates.SLOW_RATE_SHARE, now))
                .or(() -> ownSlowdown(engine, now));
    }

    /**
     * Returns the slowdown of an engine according to recent readings of this node only.
     *
     * @param engine The engine.
     * @param now The current time.
     * @return The slowdown, or empty if this node has no recent reading that shows the engine as slow.
     */
    Optional<Slowdown> observedSlowdown(EndpointName engine, MonotonicTime now) {
        return hasOwnReading(engine, now) ? ownSlowdown(engine, now) : Optional.empty();
    }

    /**
     * Returns whether an engine is expected to remain slow for longer than a move takes.
     *
     * @param engine The engine.
     * @param now The current time.
     * @return {@code true} if new items avoid it.
     */
    boolean isLasting(EndpointName engine, MonotonicTime now) {
        return slowdown(engine, now).filter(Slowdown::isLasting).isPresent();
    }

    /**
     * Returns whether a slow engine may be tried with one item because neither this node nor another one has a recent
     * reading of it.
     *
     * @param engine The engine.
     * @param now The current time.
     * @return {@code true} if it may be tried.
     */
    boolean isTrialDue(EndpointName engine, MonotonicTime now) {
        boolean read = rates.readingAge(engine, now)
                .filter(age -> age.compareTo(rates.isSilent(engine) ? EngineRates.SLOW_VALIDITY : TRIAL_DELAY) < 0)
                .isPresent();
        return !read && remoteLoads.slowFor(engine, now).isEmpty();
    }

    /**
     * Evaluates an engine by its last reading. Where another node reports the same, half of the evidence is sufficient.
     *
     * @param engine The engine.
     * @param now The current time.
     * @return The change of the state of the engine.
     */
    EngineRates.Verdict evaluate(EndpointName engine, MonotonicTime now) {
        cached.remove(engine);
        boolean isReported = remoteLoads.slowFor(engine, now).isPresent() && rates.isBelowThreshold(engine);
        Duration evidence = isReported ? EngineRates.MINIMUM_EVIDENCE.dividedBy(2) : EngineRates.MINIMUM_EVIDENCE;
        return rates.evaluate(engine, evidence);
    }

    /**
     * Describes what this node knows of an engine's speed for logs.
     *
     * @param engine The engine.
     * @param now The current time.
     * @return The description.
     */
    String describe(EndpointName engine, MonotonicTime now) {
        String slowdown = slowdown(engine, now)
                .map(found -> " for " + found.age().toMillis() + " ms, expected for "
                        + found.expectedRemaining().toMillis() + " ms more")
                .orElse("");
        String remote = remoteLoads.nodes().isEmpty()
                ? "no reports of other nodes"
                : remoteLoads
                        .slowFor(engine, now)
                        .map(age -> "reported as slow for " + age.toMillis() + " ms")
                        .orElse("not reported as slow");
        return rates.describe(engine) + slowdown + ", " + remote;
    }

    /**
     * Returns for how long this node's own recent readings have shown engines as slow, for the report to other nodes.
     *
     * @param now The current time.
     * @return The durations in milliseconds, by engine.
     */
    Map<EndpointName, Long> report(MonotonicTime now) {
        Map<EndpointName, Long> durations = new HashMap<>();
        for (EndpointName engine : rates.engines()) {
            boolean isRecent = rates.readingAge(engine, now)
                    .filter(age -> age.compareTo(REPORTED_READING_AGE) <= 0)
                    .isPresent();
            if (isRecent) {
                rates.belowThresholdFor(engine).ifPresent(age -> durations.put(engine, age.toMillis()));
            }
        }
        if (durations.size() <= MAXIMUM_REPORTED) {
            return durations;
        }
        List<EndpointName> longest = durations.keySet().stream()
                .sorted(Comparator.comparing(durations::get).reversed())
                .limit(MAXIMUM_REPORTED)
                .toList();
        durations.keySet().retainAll(longest);
        return durations;
    }

    /**
     * Returns whether this node has a recent reading of an engine.
     *
     * @param engine The engine.
     * @param now The current time.
     * @return {@code true} if it has.
     */
    private boolean hasOwnReading(EndpointName engine, MonotonicTime now) {
        return rates.readingAge(engine, now)
                .filter(age -> age.compareTo(OWN_READING_VALIDITY) <= 0)
                .isPresent();
    }

    /**
     * Returns the slowdown of an engine according to the readings of this node.
     *
     * @param engine The engine.
     * @param now The current time.
     * @return The slowdown, or empty if the readings don't show one, or one that has probably ended since.
     */
    private Optional<Slowdown> ownSlowdown(EndpointName engine, MonotonicTime now) {
        Optional<Duration> age = rates.belowThresholdFor(engine).filter(_age -> rates.isSlow(engine, now));
        if (age.isEmpty()) {
            return Optional.empty();
        }
        Duration sinceReading = rates.readingAge(engine, now).orElse(Duration.ZERO);
        double share = rates.slowRateShare(engine);
        Duration expected = rates.slowdowns().expectedRemaining(age.get(), share, now);
        boolean isLasting = expected.compareTo(MoveGain.MOVE_COST) > 0;
        Duration validity = isLasting ? EngineRates.SLOW_VALIDITY : TRANSIENT_VALIDITY;
        return sinceReading.compareTo(validity) < 0
                ? Optional.of(slowdown(age.get().plus(sinceReading), share, now))
                : Optional.empty();
    }

    /**
     * Creates a slowdown with the expected remaining duration.
     *
     * @param age For how long it has lasted.
     * @param rateShare The engine's rate as a share of the usual rate.
     * @param now The current time.
     * @return The slowdown.
     */
    private Slowdown slowdown(Duration age, double rateShare, MonotonicTime now) {
        return new Slowdown(age, rates.slowdowns().expectedRemaining(age, rateShare, now), rateShare);
    }

    /**
     * A slowdown of an engine.
     *
     * @param age For how long it has lasted.
     * @param expectedRemaining For how long it is expected to continue.
     * @param rateShare The engine's rate as a share of the usual rate.
     */
    record Slowdown(Duration age, Duration expectedRemaining, double rateShare) {

        /**
         * Returns whether the slowdown is expected to continue for longer than a move takes.
         *
         * @return {@code true} if it is.
         */
        boolean isLasting() {
            return expectedRemaining.compareTo(MoveGain.MOVE_COST) > 0;
        }
    }
}
