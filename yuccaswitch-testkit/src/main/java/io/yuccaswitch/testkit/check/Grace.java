package io.yuccaswitch.testkit.check;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Computes until when news may take to arrive: a bound after it is out, and again after each fault that struck
 * meanwhile.
 *
 * @param bound The time that news may take without faults.
 * @param faults The faults.
 */
record Grace(Duration bound, List<Interval> faults) {

    /** Sorts the faults. */
    Grace {
        faults =
                faults.stream().sorted(Comparator.comparingLong(Interval::from)).toList();
    }

    /**
     * Collects the faults that may hold news up.
     *
     * @param bound The time that news may take without faults.
     * @param observations Everything that was observed.
     * @return The computation.
     */
    static Grace of(Duration bound, Observations observations) {
        List<Interval> faults = new ArrayList<>();
        observations
                .of(Observation.NodeCrash.class)
                .forEach(crash -> faults.add(new Interval(crash.from(), crash.until())));
        observations
                .of(Observation.PlatformFault.class)
                .forEach(fault -> faults.add(new Interval(fault.from(), fault.until())));
        return new Grace(bound, faults);
    }

    /**
     * Returns the time by which news must have arrived.
     *
     * @param outAt The time at which the news was out.
     * @return The time by which it must have arrived.
     */
    long deadline(long outAt) {
        long deadline = outAt + bound.toMillis();
        for (Interval fault : faults) {
            if (fault.until() >= outAt && fault.from() <= deadline) {
                deadline = Math.max(deadline, fault.until() + bound.toMillis());
            }
        }
        return deadline;
    }

    /**
     * The time of a fault.
     *
     * @param from The time just before the fault.
     * @param until The time at which the fault had ended.
     */
    record Interval(long from, long until) {}
}
