package io.yuccaswitch.core.scaling;

import io.yuccaswitch.core.decision.Effect;
import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.identity.PoolName;

/** Effects that change the number of endpoints. */
public sealed interface ScalingEffect extends Effect {

    /**
     * Orders a number of endpoints from the cloud.
     *
     * @param pool The pool.
     * @param zone The availability zone.
     * @param desired The desired number of endpoints of the pool in the zone.
     * @param holder The node that holds the duties.
     * @param fence The fencing number.
     */
    record Order(PoolName pool, AvailabilityZone zone, int desired, NodeName holder, long fence)
            implements ScalingEffect {}
}
