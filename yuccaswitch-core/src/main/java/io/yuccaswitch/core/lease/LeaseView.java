package io.yuccaswitch.core.lease;

import io.yuccaswitch.core.time.MonotonicTime;
import java.util.Optional;

/** A read-only view of the leases for other systems. */
public interface LeaseView {

    /**
     * Returns a lease if this node holds it. A caller must check this immediately before each action that requires the
     * lease.
     *
     * @param name The lease's name.
     * @param now The current time.
     * @return The lease, or empty if this node does not hold it or its validity has ended.
     */
    Optional<HeldLease> held(LeaseName name, MonotonicTime now);
}
