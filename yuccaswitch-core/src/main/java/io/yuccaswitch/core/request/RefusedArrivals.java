package io.yuccaswitch.core.request;

import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Optional;

/**
 * The refusals of requests that peers passed on, by the number of the arrival. A repetition of the message that arrives
 * after the refusal gets the refusal again: the caller was told that the request did not run.
 */
final class RefusedArrivals {

    /** The time for which refusals are kept, longer than a message can be on its way. */
    private static final Duration RETENTION = Duration.ofMinutes(2);

    /** The refusals in the order in which they were given. */
    private final EntityTable<Long, Refusal> refusals = new EntityTable<>();

    /**
     * Keeps a refusal.
     *
     * @param arrival The number of the arrival.
     * @param outcome The refusal.
     * @param now The time.
     */
    void keep(long arrival, RecordedOutcome outcome, MonotonicTime now) {
        refusals.put(arrival, new Refusal(arrival, outcome, now));
    }

    /**
     * Finds a refusal.
     *
     * @param arrival The number of the arrival.
     * @return The refusal, or empty if the arrival was not refused.
     */
    Optional<RecordedOutcome> find(long arrival) {
        return refusals.find(arrival).map(Refusal::outcome);
    }

    /**
     * Drops old refusals.
     *
     * @param now The time.
     */
    void expire(MonotonicTime now) {
        while (refusals.size() > 0) {
            Refusal oldest = refusals.view().iterator().next();
            if (now.since(oldest.refusedAt()).compareTo(RETENTION) < 0) {
                return;
            }
            refusals.remove(oldest.arrival());
        }
    }

    /**
     * A refusal.
     *
     * @param arrival The number of the arrival.
     * @param outcome The refusal.
     * @param refusedAt The time of the refusal.
     */
    private record Refusal(long arrival, RecordedOutcome outcome, MonotonicTime refusedAt) {}
}
