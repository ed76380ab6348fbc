package io.yuccaswitch.core.membership;

import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Optional;

/**
 * The health of this node, which determines how reliable its own view is. A node whose probes mostly fail is likely to
 * be disconnected itself, and waits longer before it declares others dead. A node that was paused declares no other
 * node dead until it has received an answer or the wait for one has timed out.
 */
final class SelfHealth {

    /** The maximum number of failed probes that are counted. */
    private static final int MAXIMUM_FAILURES = 8;

    /** The maximum time for which a node waits for an answer after a pause. */
    private final Duration recoveryTimeout;

    /** The number of failed probes, less that of answered ones. */
    private int failures;

    /** The time at which this node detected a pause, or empty if it has recovered since. */
    private Optional<MonotonicTime> pauseDetectedAt = Optional.empty();

    /**
     * Creates the state of a healthy node.
     *
     * @param recoveryTimeout The maximum time for which a node waits for an answer after a pause.
     */
    SelfHealth(Duration recoveryTimeout) {
        this.recoveryTimeout = recoveryTimeout;
    }

    /** Records a probe that failed. */
    void recordFailure() {
        failures = Math.min(MAXIMUM_FAILURES, failures + 1);
    }

    /** Records a probe that was answered. */
    void recordSuccess() {
        failures = Math.max(0, failures - 1);
    }

    /**
     * Records a pause of this node.
     *
     * @param now The current time.
     */
    void recordPause(MonotonicTime now) {
        pauseDetectedAt = Optional.of(now);
    }

    /** Records that this node has recovered from a pause. */
    void recordRecovery() {
        pauseDetectedAt = Optional.empty();
    }

    /**
     * Returns whether this node was paused and has not recovered since.
     *
     * @return {@code true} if this node's view may be stale.
     */
    boolean isUncertain() {
        return pauseDetectedAt.isPresent();
    }

    /**
     * Returns whether the wait for an answer after a pause has timed out.
     *
     * @param now The current time.
     * @return {@code true} if the wait has timed out.
     */
    boolean hasRecoveryTimedOut(MonotonicTime now) {
        return pauseDetectedAt
                .map(since -> now.since(since).compareTo(recoveryTimeout) >= 0)
                .orElse(false);
    }

    /**
     * Extends a time-out by the number of counted failures.
     *
     * @param timeout The time-out.
     * @return The extended time-out.
     */
    Duration extend(Duration timeout) {
        return timeout.multipliedBy(1L + failures);
    }
}
