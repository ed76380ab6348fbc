package io.yuccaswitch.core.endpoint;

import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Optional;

/**
 * Where a node stands with asking an endpoint for its state.
 *
 * @param failures The number of failures in a row.
 * @param sentAt The time of the probe that is not answered yet, or empty if there is none.
 * @param dueAt The time at which the next probe is due.
 * @param cacheDueAt The time at which cache events are to be read next.
 */
record ProbeState(int failures, Optional<MonotonicTime> sentAt, MonotonicTime dueAt, MonotonicTime cacheDueAt) {

    /** The number of failures in a row after which an endpoint is down. */
    static final int DOWN_AFTER = 3;

    /** The state of an endpoint that was never asked. */
    static final ProbeState NEW =
            new ProbeState(0, Optional.empty(), new MonotonicTime(Long.MIN_VALUE), new MonotonicTime(Long.MIN_VALUE));

    /** The time after which a probe counts as lost in case that no answer ever comes. */
    private static final Duration LOST_AFTER = Duration.ofSeconds(30);

    /**
     * Returns whether an endpoint that failed so often is down.
     *
     * @return {@code true} if it is down.
     */
    boolean down() {
        return failures >= DOWN_AFTER;
    }

    /**
     * Returns whether a probe is to be sent.
     *
     * @param now The current time.
     * @return {@code true} if one is due and none is under way.
     */
    boolean due(MonotonicTime now) {
        boolean underWay =
                sentAt.map(sent -> now.since(sent).compareTo(LOST_AFTER) < 0).orElse(false);
        return !underWay && !now.isBefore(dueAt);
    }

    /**
     * Returns this state after a probe was sent.
     *
     * @param now The current time.
     * @param next The time at which the next probe is due.
     * @return The changed state.
     */
    ProbeState withSent(MonotonicTime now, MonotonicTime next) {
        return new ProbeState(failures, Optional.of(now), next, cacheDueAt);
    }

    /**
     * Returns this state after cache events were asked for.
     *
     * @param next The time at which they are to be read next.
     * @return The changed state.
     */
    ProbeState withCacheDueAt(MonotonicTime next) {
        return new ProbeState(failures, sentAt, dueAt, next);
    }

    /**
     * Returns this state after the endpoint reported.
     *
     * @return The changed state.
     */
    ProbeState withReport() {
        return new ProbeState(0, Optional.empty(), dueAt, cacheDueAt);
    }

    /**
     * Returns this state after a probe failed.
     *
     * @return The changed state.
     */
    ProbeState withProbeFailure() {
        return new ProbeState(failures + 1, Optional.empty(), dueAt, cacheDueAt);
    }

    /**
     * Returns this state after a request could not be sent to the endpoint.
     *
     * @return The changed state.
     */
    ProbeState withAttemptFailure() {
        return new ProbeState(failures + 1, sentAt, dueAt, cacheDueAt);
    }
}
