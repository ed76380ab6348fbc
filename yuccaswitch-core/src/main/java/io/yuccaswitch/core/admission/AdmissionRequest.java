package io.yuccaswitch.core.admission;

import io.yuccaswitch.core.identity.CallerName;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Set;

/**
 * A plain request that needs a slot for its next attempt.
 *
 * @param id The number of the request, unique at this node.
 * @param account The account to whose share the request is charged.
 * @param weight The weight of the account, at least one.
 * @param priority The priority, where 0 is the most urgent.
 * @param bytes The number of bytes that the request occupies in memory.
 * @param times The times of the request.
 * @param stage What earlier attempts of the request have led to.
 * @param avoided The endpoints that are used only if no other has a free slot.
 */
public record AdmissionRequest(
        long id,
        CallerName account,
        int weight,
        int priority,
        int bytes,
        Times times,
        Stage stage,
        Set<EndpointName> avoided) {

    /** Copies the endpoints. */
    public AdmissionRequest {
        avoided = Set.copyOf(avoided);
    }

    /**
     * Returns the maximum time that the request may still wait for a slot. A caller whose answer would come later than
     * three quarters of its latency target is better served elsewhere, and is told so after a quarter of it, so that
     * time for another node remains. These limits don't apply to a request that may have run, as its refusal would be a
     * failure. No request waits for more than half of the time that it had when it was queued.
     *
     * @param work The expected time of the answer itself, or zero if it is unknown.
     * @param now The current time.
     * @return The time, which is negative if the request can't be served in its time any more.
     */
    public Duration maximumWait(Duration work, MonotonicTime now) {
        Duration waited = now.since(times.queuedAt());
        Duration half = times.deadline().since(times.queuedAt()).dividedBy(2).minus(waited);
        Duration limit = shorter(half, times.deadline().since(now).minus(work));
        if (stage == Stage.MAY_HAVE_RUN) {
            return limit;
        }
        Duration elapsed = now.since(times.arrivedAt());
        Duration target = times.effectiveTarget();
        Duration ownWork = times.streaming() ? Duration.ZERO : work;
        limit = shorter(
                limit, target.multipliedBy(3).dividedBy(4).minus(elapsed).minus(ownWork));
        return stage == Stage.NEW ? shorter(limit, target.dividedBy(4).minus(elapsed)) : limit;
    }

    /**
     * Returns the shorter of two durations.
     *
     * @param first The first duration.
     * @param second The second duration.
     * @return The shorter one.
     */
    private static Duration shorter(Duration first, Duration second) {
        return first.compareTo(second) < 0 ? first : second;
    }

    /** What earlier attempts of a request have led to. */
    public enum Stage {
        /** There was no attempt. */
        NEW,
        /** Endpoints refused the request without running it. */
        REFUSED,
        /** An attempt may have run, and another one is allowed. */
        MAY_HAVE_RUN
    }

    /**
     * The times of a request.
     *
     * @param arrivedAt When the request arrived.
     * @param queuedAt When it was queued for its next attempt.
     * @param deadline When the time of its caller ends.
     * @param latencyTarget The time after the arrival within which an answer has its full value, or zero if it has no
     *     such target.
     * @param streaming Whether the answer is a stream, whose latency target concerns its start.
     */
    public record Times(
            MonotonicTime arrivedAt,
            MonotonicTime queuedAt,
            MonotonicTime deadline,
            Duration latencyTarget,
            boolean streaming) {

        /**
         * Returns the latency target.
         *
         * @return The target, or the whole time of the request if it has none.
         */
        private Duration effectiveTarget() {
            return latencyTarget.isZero() ? deadline.since(arrivedAt) : latencyTarget;
        }
    }
}
