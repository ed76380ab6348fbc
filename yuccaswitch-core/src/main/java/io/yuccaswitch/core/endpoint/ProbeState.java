package io.yuccaswitch.core.endpoint;

import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Optional;

/**
 * The state of a node's probes of an endpoint.
 *
 * @param failures The number of consecutive failures.
 * @param sentAt The time at which the probe in flight was sent, or empty if there is none.
 * @param dueAt The time at which the next probe is due.
 * @param cacheDueAt The time at which the next read of cache events is due.
 */
record ProbeState(int failures, Optional<MonotonicTime> sentAt, MonotonicTime dueAt, MonotonicTime cacheDueAt) {

    /** The number of consecutive failures after which an endpoint is down. */
    static final int DOWN_FAILURE_THRESHOLD = 3;

    /** The state of an endpoint that has not been probed yet. */
    static final ProbeState INITIAL =
            new ProbeState(0, Optional.empty(), new MonotonicTime(Long.MIN_VALUE), new MonotonicTime(Long.MIN_VALUE));

    /** The time after which a probe without an answer is considered lost. */
    private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(30);

    /**
     * Returns whether the endpoint is down due to consecutive failures.
     *
     * @return {@code true} if it is down.
     */
    boolean down() {
        return failures >= DOWN_FAILURE_THRESHOLD;
    }

    /**
     * Returns whether a probe is due.
     *
     * @param now The current time.
     * @return {@code true} if a probe is due and none is in flight.
     */
    boolean due(MonotonicTime now) {
        boolean inFlight =
                sentAt.map(sent -> now.since(sent).compareTo(PROBE_TIMEOUT) < 0).orElse(false);
        return !inFlight && !now.isBefore(dueAt);
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
     * Returns this state after a read of cache events was requested.
     *
     * @param next The time at which the next read is due.
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
     * Returns this state after an attempt of a request could not connect to the endpoint.
     *
     * @return The changed state.
     */
    ProbeState withAttemptFailure() {
        return new ProbeState(failures + 1, sentAt, dueAt, cacheDueAt);
    }
}
