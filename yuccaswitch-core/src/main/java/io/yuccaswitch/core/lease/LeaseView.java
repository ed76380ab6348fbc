package io.yuccaswitch.core.lease;

import io.yuccaswitch.core.time.MonotonicTime;
import java.util.Optional;

/** What other systems may ask about leases. */
public interface LeaseView {

    /**
     * Returns a lease if this node holds it. The question is asked anew right before each act that needs the lease.
     *
     * @param name The lease's name.
     * @param now The current time.
     * @return The lease, or empty if this node does not hold it or stopped before its end.
     */
    Optional<HeldLease> held(LeaseName name, MonotonicTime now);
}
