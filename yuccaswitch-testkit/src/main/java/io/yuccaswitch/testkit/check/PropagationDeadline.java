package io.yuccaswitch.testkit.check;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Computes the time by which a change must have propagated to all nodes: a bound after its publication, extended by the
 * same bound after the end of each fault that overlaps the wait.
 *
 * @param bound The maximum propagation time in the absence of faults.
 * @param faults The intervals during which faults were active.
 */
record PropagationDeadline(Duration bound, List<Interval> faults) {

    /** Sorts the faults by their start. */
    PropagationDeadline {
        faults =
                faults.stream().sorted(Comparator.comparingLong(Interval::from)).toList();
    }

    /**
     * Collects the faults that may delay propagation.
     *
     * @param bound The maximum propagation time in the absence of faults.
     * @param observations All observations of the run.
     * @return The deadline computation for these faults.
     */
    static PropagationDeadline of(Duration bound, Observations observations) {
        List<Interval> faults = new ArrayList<>();
        observations
                .of(Observation.NodeCrash.class)
                .forEach(crash -> faults.add(new Interval(crash.from(), crash.until())));
        observations
                .of(Observation.PlatformFault.class)
                .forEach(fault -> faults.add(new Interval(fault.from(), fault.until())));
        return new PropagationDeadline(bound, faults);
    }

    /**
     * Returns the time by which a change must have propagated.
     *
     * @param publishedAt The time in milliseconds at which the change was published.
     * @return The deadline in milliseconds.
     */
    long deadline(long publishedAt) {
        long deadline = publishedAt + bound.toMillis();
        for (Interval fault : faults) {
            if (fault.until() >= publishedAt && fault.from() <= deadline) {
                deadline = Math.max(deadline, fault.until() + bound.toMillis());
            }
        }
        return deadline;
    }

    /**
     * The interval during which a fault was active, in milliseconds since the epoch.
     *
     * @param from A time just before the fault began.
     * @param until A time at which the fault had ended.
     */
    record Interval(long from, long until) {}
}
