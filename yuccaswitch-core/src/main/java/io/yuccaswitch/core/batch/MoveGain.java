package io.yuccaswitch.core.batch;

import java.time.Duration;

/**
 * The time that an item gains by moving from a slow engine to a healthy one. The workload: 419 moves for 1,896 items on
 * a day without disturbances, most of them off slowdowns that ended before the item had arrived at its new engine.
 *
 * @param slowdown The expected remaining duration of the slowdown.
 * @param item The time that the item still needs at an engine of usual speed.
 * @param rateShare The engine's rate as a share of the usual rate, from 0 to 1.
 */
record MoveGain(Duration slowdown, Duration item, double rateShare) {

    /**
     * The cost of a move: the cancellation and the new request (some 20 ms), the prefill of prompt and text at the
     * destination (25 ms for 8,000 tokens), and an allowance for a destination that is refusing, loaded or about to be
     * slow.
     */
    static final Duration MOVE_COST = Duration.ofMillis(150);

    /** The lowest rate share by which a remaining time is divided; a silent engine would need forever. */
    private static final double MINIMUM_RATE_SHARE = 0.01;

    /** Limits the share to its range: rates of short readings vary. */
    MoveGain {
        rateShare = Math.min(1, Math.max(0, rateShare));
    }

    /**
     * Returns the time that the item loses by staying.
     *
     * @return The time.
     */
    Duration lossByStaying() {
        long needed = (long) (item.toNanos() / Math.max(MINIMUM_RATE_SHARE, rateShare));
        Duration affected = Duration.ofNanos(Math.min(slowdown.toNanos(), needed));
        return Duration.ofNanos((long) (affected.toNanos() * (1 - rateShare)));
    }

    /**
     * Returns whether the item ends earlier if it moves.
     *
     * @return {@code true} if the time that it loses by staying exceeds the cost of the move.
     */
    boolean paysOff() {
        return lossByStaying().compareTo(MOVE_COST) > 0;
    }
}
