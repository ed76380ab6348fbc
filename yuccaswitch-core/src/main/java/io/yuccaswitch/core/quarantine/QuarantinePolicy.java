package io.yuccaswitch.core.quarantine;

import java.time.Duration;
import java.util.List;

/**
 * Judges requests by the endpoints that terminated while processing them. An endpoint may terminate for any reason, so
 * a single termination has no consequences. Two consecutive terminations are rare for a harmless request. Three without
 * another explanation are so rare that the loss from a wrong verdict is negligible.
 */
final class QuarantinePolicy {

    /** The number of terminated endpoints from which a request is limited to one attempt at a time. */
    static final int RESTRAIN_THRESHOLD = 2;

    /**
     * The number of terminated endpoints from which a request is held, unless other suspect requests were in flight at
     * all of them.
     */
    static final int HOLD_THRESHOLD = 3;

    /** The number of terminated endpoints from which a request is held unconditionally. */
    private static final int UNCONDITIONAL_HOLD_THRESHOLD = 4;

    /**
     * How long a request is held: the first entry applies at {@link #HOLD_THRESHOLD} terminations and each further
     * entry at one more, so a request that is held only from {@link #UNCONDITIONAL_HOLD_THRESHOLD} on starts with the
     * second entry. The first hold is short, so that a request that coincided with a series of unrelated failures is
     * served again while its caller still needs it. Each trial may take an endpoint out of service for some seconds,
     * which at an interval of six hours is negligible beside ordinary failures.
     */
    private static final List<Duration> HOLD_DURATIONS =
            List.of(Duration.ofSeconds(30), Duration.ofMinutes(10), Duration.ofHours(1), Duration.ofHours(6));

    /**
     * How long a request that is not held is retained. Callers that repeat a request do so within seconds or minutes.
     */
    static final Duration SUSPECT_RETENTION = Duration.ofMinutes(10);

    /** How long a held request is retained after the last termination. */
    static final Duration HELD_RETENTION = Duration.ofHours(24);

    /** How long the clearance of a request is retained, so that no node reintroduces earlier evidence. */
    static final Duration CLEARANCE_RETENTION = Duration.ofMinutes(2);

    /** This class has no instances. */
    private QuarantinePolicy() {}

    /**
     * Returns the verdict on a request.
     *
     * @param suspect The state of the request.
     * @param soleRequest Whether it was the only unanswered request in flight at one of the endpoints.
     * @param now The current time in milliseconds since the epoch.
     * @return The verdict.
     */
    static Verdict judge(Suspect suspect, boolean soleRequest, long now) {
        if (suspect.crashEvidence().isEmpty()) {
            return new Verdict.Serve();
        }
        if (!isHeld(suspect, soleRequest)) {
            return suspect.count() < RESTRAIN_THRESHOLD ? new Verdict.Observe() : new Verdict.Restrain();
        }
        long left = heldUntil(suspect) - now;
        return left > 0 ? new Verdict.Refuse(Duration.ofMillis(left)) : new Verdict.Trial();
    }

    /**
     * Returns whether a request is held, or is on trial after its hold time elapsed.
     *
     * @param suspect The state of the request.
     * @param soleRequest Whether it was the only unanswered request in flight at one of the endpoints.
     * @return {@code true} if it is.
     */
    static boolean isHeld(Suspect suspect, boolean soleRequest) {
        return suspect.count() >= (soleRequest ? HOLD_THRESHOLD : UNCONDITIONAL_HOLD_THRESHOLD);
    }

    /**
     * Returns the end of the hold time of a request.
     *
     * @param suspect The state of the request.
     * @return The time in milliseconds since the epoch.
     */
    static long heldUntil(Suspect suspect) {
        int step = Math.min(Math.max(0, suspect.count() - HOLD_THRESHOLD), HOLD_DURATIONS.size() - 1);
        int tried = suspect.trialAt() > suspect.lastCrashAt() ? 1 : 0;
        Duration time = HOLD_DURATIONS.get(Math.min(step + tried, HOLD_DURATIONS.size() - 1));
        return Math.max(suspect.lastCrashAt(), suspect.trialAt()) + time.toMillis();
    }

    /**
     * Returns whether the retention of a request has elapsed.
     *
     * @param suspect The state of the request.
     * @param now The current time in milliseconds since the epoch.
     * @return {@code true} if it may be removed.
     */
    static boolean isExpired(Suspect suspect, long now) {
        Duration retention = suspect.crashEvidence().isEmpty()
                ? CLEARANCE_RETENTION
                : suspect.count() < HOLD_THRESHOLD ? SUSPECT_RETENTION : HELD_RETENTION;
        return now - suspect.changedAt() > retention.toMillis();
    }
}
