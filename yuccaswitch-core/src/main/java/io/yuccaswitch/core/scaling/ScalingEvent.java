package io.yuccaswitch.core.scaling;

import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.duty.DutyOutcome;
import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.PoolName;

/** Outcomes of orders of endpoints. */
public sealed interface ScalingEvent extends Event {

    /**
     * An order was sent.
     *
     * @param pool The pool.
     * @param zone The availability zone.
     * @param outcome The outcome.
     */
    record Ordered(PoolName pool, AvailabilityZone zone, DutyOutcome outcome) implements ScalingEvent {}
}
