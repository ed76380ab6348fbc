package io.yuccaswitch.core.membership;

import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Optional;

/**
 * How far this node trusts its own view. A node whose probes mostly fail is more likely to be cut off itself, and takes
 * longer to declare others dead. A node that was paused does not declare anyone dead until it has heard from another
 * one.
 */
final class SelfHealth {

    /** The largest number of failures that are held against this node. */
    private static final int MAXIMUM_FAILURES = 8;

    /** The longest time for which a paused node waits for an answer. */
    private final Duration doubtTime;

    /** The failures that are held against this node. */
    private int failures;

    /** The time at which this node found that it was paused, or empty if it has heard from another one since. */
    private Optional<MonotonicTime> doubtfulSince = Optional.empty();

    /**
     * Creates a healthy state.
     *
     * @param doubtTime The longest time for which a paused node waits for an answer.
     */
    SelfHealth(Duration doubtTime) {
        this.doubtTime = doubtTime;
    }

    /** Takes note of a probe that failed. */
    void failure() {
        failures = Math.min(MAXIMUM_FAILURES, failures + 1);
    }

    /** Takes note of a probe that was answered. */
    void success() {
        failures = Math.max(0, failures - 1);
    }

    /**
     * Takes note of a pause of this node.
     *
     * @param now The current time.
     */
    void doubt(MonotonicTime now) {
        doubtfulSince = Optional.of(now);
    }

    /** Takes note that this node has heard from another one. */
    void trust() {
        doubtfulSince = Optional.empty();
    }

    /**
     * Returns whether this node was paused and has not heard from another one since.
     *
     * @return {@code true} if this node's view may be outdated.
     */
    boolean isDoubtful() {
        return doubtfulSince.isPresent();
    }

    /**
     * Returns whether this node has waited in vain for another one to answer.
     *
     * @param now The current time.
     * @return {@code true} if the wait is over.
     */
    boolean hasWaited(MonotonicTime now) {
        return doubtfulSince
                .map(since -> now.since(since).compareTo(doubtTime) >= 0)
                .orElse(false);
    }

    /**
     * Stretches a time by the failures that are held against this node.
     *
     * @param time The time.
     * @return The stretched time.
     */
    Duration stretch(Duration time) {
        return time.multipliedBy(1L + failures);
    }
}
