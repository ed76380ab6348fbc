package io.yuccaswitch.core.request;

import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Optional;

/**
 * The refusals of requests that peers forwarded, by the number of the arrival. If the message arrives again after the
 * refusal, the refusal is repeated, because the caller was already notified that the request did not run.
 */
final class RefusedArrivals {

    /** The time for which refusals are retained, which exceeds the longest delivery time of a message. */
    private static final Duration RETENTION = Duration.ofMinutes(2);

    /** The refusals in the order in which they were issued. */
    private final EntityTable<Long, Refusal> refusals = new EntityTable<>();

    /**
     * Records a refusal.
     *
     * @param arrival The number of the arrival.
     * @param outcome The refusal.
     * @param now The current time.
     */
    void retain(long arrival, RecordedOutcome outcome, MonotonicTime now) {
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
     * Removes the refusals whose retention time has passed.
     *
     * @param now The current time.
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
