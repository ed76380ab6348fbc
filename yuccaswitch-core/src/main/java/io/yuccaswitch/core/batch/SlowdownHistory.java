package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;

/**
 * The durations of the slowdowns of engines that this node observed to their end, from which the remaining duration of
 * a current slowdown is estimated. The workload: at any moment 15% of the VMs are some 2.5 times slower for about 0.6
 * s, and a few are several times slower for seconds. They are told apart by their depth and their age.
 */
final class SlowdownHistory {

    /** How long a duration is retained: the load of the VMs changes within hours, not minutes. */
    private static final Duration RETENTION = Duration.ofMinutes(10);

    /**
     * The maximum number of durations. Short slowdowns are about ten times as frequent as long ones, so that this
     * number includes some twenty long ones.
     */
    private static final int MAXIMUM_DURATIONS = 256;

    /**
     * The factor up to which a rate is similar to another one: less than that between an engine that is 2.5 times
     * slower and one that is 3.5 times slower.
     */
    private static final double SIMILAR_RATE_FACTOR = 1.25;

    /** The durations, in the order in which the slowdowns ended. */
    private final Deque<Ended> ended = new ArrayDeque<>();

    /**
     * Adds a slowdown that ended.
     *
     * @param duration Its duration.
     * @param rateShare The engine's mean rate during it, as a share of the usual rate.
     * @param now The current time.
     */
    void add(Duration duration, double rateShare, MonotonicTime now) {
        ended.addLast(new Ended(duration, rateShare, now));
        if (ended.size() > MAXIMUM_DURATIONS) {
            ended.removeFirst();
        }
    }

    /**
     * Estimates the remaining duration of a slowdown from the observed ones that lasted longer and were similarly deep
     * or deeper: VMs that are shortly slower are less slow than engines in a lasting slowdown, which are 3 to 8 times
     * slower. Among these, one that lasts as long again as it has lasted is always counted, and the lower median is
     * used. The mean would be determined by the few long slowdowns, and items would leave engines whose slowdown ends a
     * moment later; with the median, a slowdown is long once it is deeper or older than the usual short one.
     *
     * @param age For how long the slowdown has lasted.
     * @param rateShare The engine's mean rate during it, as a share of the usual rate.
     * @param now The current time.
     * @return The expected remaining duration.
     */
    Duration expectedRemaining(Duration age, double rateShare, MonotonicTime now) {
        ended.removeIf(entry -> now.since(entry.at()).compareTo(RETENTION) > 0);
        List<Duration> remaining = new ArrayList<>();
        remaining.add(age);
        for (Ended entry : ended) {
            if (entry.duration().compareTo(age) > 0 && entry.rateShare() <= rateShare * SIMILAR_RATE_FACTOR) {
                remaining.add(entry.duration().minus(age));
            }
        }
        Collections.sort(remaining);
        return remaining.get((remaining.size() - 1) / 2);
    }

    /**
     * Returns the number of durations.
     *
     * @return The number.
     */
    int size() {
        return ended.size();
    }

    /**
     * A slowdown that ended.
     *
     * @param duration Its duration.
     * @param rateShare The engine's mean rate during it, as a share of the usual rate.
     * @param at When its end was observed.
     */
    private record Ended(Duration duration, double rateShare, MonotonicTime at) {}
}
