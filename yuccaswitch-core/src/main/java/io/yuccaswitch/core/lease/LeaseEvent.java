package io.yuccaswitch.core.lease;

import io.yuccaswitch.core.decision.Event;

/** A change of a lease at this node, raised for the systems that run later in the tick. */
public sealed interface LeaseEvent extends Event {

    /**
     * Returns the lease that the event is about.
     *
     * @return The lease's name.
     */
    LeaseName name();

    /**
     * This node became the holder, or continues as the holder under a new fencing number.
     *
     * @param name The lease's name.
     * @param fencingNumber The fencing number.
     * @param degraded {@code true} if the platform is unreachable.
     */
    record Acquired(LeaseName name, long fencingNumber, boolean degraded) implements LeaseEvent {}

    /**
     * This node is no longer the holder.
     *
     * @param name The lease's name.
     * @param fencingNumber The fencing number that this node must no longer use.
     * @param reason The reason, for logs.
     */
    record Lost(LeaseName name, long fencingNumber, String reason) implements LeaseEvent {}
}
