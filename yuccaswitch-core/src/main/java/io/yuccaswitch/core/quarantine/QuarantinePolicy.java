package io.yuccaswitch.core.quarantine;

import java.time.Duration;
import java.util.List;

/**
 * Judges requests by the endpoints that ended under them. An endpoint may end for any reason while it runs a request,
 * so one is no reason for anything. Two in a row are rare for a request that does no harm, and three that nothing else
 * explains rarer than any loss that a wrong judgement costs.
 */
final class QuarantinePolicy {

    /** The number of ended endpoints from which a request gets one attempt at a time. */
    static final int RESTRAINED_FROM = 2;

    /** The number of ended endpoints from which a request is held, unless others were at all of them too. */
    static final int HELD_FROM = 3;

    /** The number of ended endpoints from which a request is held in any case. */
    private static final int HELD_ANYWAY_FROM = 4;

    /**
     * For how long a request is held after as many endpoints as hold it, after one more, and so on. The first time is
     * short, such that a request that met a run of unrelated failures is served again while its caller still wants it.
     * Each further one costs an endpoint some seconds of work, which at six hours is nothing beside ordinary failures.
     */
    private static final List<Duration> HOLDING_TIMES =
            List.of(Duration.ofSeconds(30), Duration.ofMinutes(10), Duration.ofHours(1), Duration.ofHours(6));

    /** How long a request that is not held is remembered: callers that repeat one do so within seconds or minutes. */
    static final Duration MEMORY = Duration.ofMinutes(10);

    /** How long a held request is remembered, counted from the last endpoint that ended. */
    static final Duration HELD_MEMORY = Duration.ofHours(24);

    /** How long it is remembered that a request was cleared, such that no node brings its past back. */
    static final Duration CLEARED_MEMORY = Duration.ofMinutes(2);

    /** This class has no instances. */
    private QuarantinePolicy() {}

    /**
     * Returns what is done with a request now.
     *
     * @param suspect What is known of the request.
     * @param alone Whether it was the only request in flight at one of the endpoints, but for those that were answered.
     * @param now The present in milliseconds since the epoch.
     * @return The verdict.
     */
    static Verdict judge(Suspect suspect, boolean alone, long now) {
        if (suspect.strikes().isEmpty()) {
            return new Verdict.Serve();
        }
        if (!isHeld(suspect, alone)) {
            return suspect.count() < RESTRAINED_FROM ? new Verdict.Observe() : new Verdict.Restrain();
        }
        long left = heldUntil(suspect) - now;
        return left > 0 ? new Verdict.Refuse(Duration.ofMillis(left)) : new Verdict.Try();
    }

    /**
     * Returns whether a request is held, or was and is now tried.
     *
     * @param suspect What is known of the request.
     * @param alone Whether it was the only request in flight at one of the endpoints, but for those that were answered.
     * @return {@code true} if it is.
     */
    static boolean isHeld(Suspect suspect, boolean alone) {
        return suspect.count() >= (alone ? HELD_FROM : HELD_ANYWAY_FROM);
    }

    /**
     * Returns until when a request is held.
     *
     * @param suspect What is known of the request.
     * @return The time in milliseconds since the epoch.
     */
    static long heldUntil(Suspect suspect) {
        int step = Math.min(Math.max(0, suspect.count() - HELD_FROM), HOLDING_TIMES.size() - 1);
        int tried = suspect.trialAt() > suspect.lastStrikeAt() ? 1 : 0;
        Duration time = HOLDING_TIMES.get(Math.min(step + tried, HOLDING_TIMES.size() - 1));
        return Math.max(suspect.lastStrikeAt(), suspect.trialAt()) + time.toMillis();
    }

    /**
     * Returns whether a request may be forgotten.
     *
     * @param suspect What is known of the request.
     * @param now The present in milliseconds since the epoch.
     * @return {@code true} if it is remembered for long enough.
     */
    static boolean isForgotten(Suspect suspect, long now) {
        Duration memory =
                suspect.strikes().isEmpty() ? CLEARED_MEMORY : suspect.count() < HELD_FROM ? MEMORY : HELD_MEMORY;
        return now - suspect.changedAt() > memory.toMillis();
    }
}
