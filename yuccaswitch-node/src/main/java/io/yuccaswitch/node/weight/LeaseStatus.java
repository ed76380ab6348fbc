package io.yuccaswitch.node.weight;

import io.yuccaswitch.core.lease.HeldLease;
import io.yuccaswitch.core.lease.LeaseSystem;
import io.yuccaswitch.core.time.MonotonicTime;
import io.yuccaswitch.node.operator.StatusSection;
import java.util.function.Supplier;

/** The part of the status document that shows the leases that this node holds. */
public final class LeaseStatus implements StatusSection {

    /** The leases. */
    private final LeaseSystem leases;

    /** Reads the monotonic clock of the decision core. */
    private final Supplier<MonotonicTime> clock;

    /**
     * Creates a new section.
     *
     * @param leases The leases.
     * @param clock Reads the monotonic clock of the decision core.
     */
    public LeaseStatus(LeaseSystem leases, Supplier<MonotonicTime> clock) {
        this.leases = leases;
        this.clock = clock;
    }

    /** {@inheritDoc} */
    @Override
    public String name() {
        return "leases";
    }

    /** {@inheritDoc} */
    @Override
    public Object content() {
        MonotonicTime now = clock.get();
        return leases.held(now).stream().map(lease -> Row.of(lease, now)).toList();
    }

    /**
     * A lease that this node holds.
     *
     * @param name The lease's name.
     * @param fencingNumber The fencing number.
     * @param degraded {@code true} if the platform is unreachable and the node acts by succession.
     * @param heldForMillis The milliseconds for which this node has held the lease without interruption.
     * @param validForMillis The milliseconds for which the lease remains valid without a renewal.
     */
    record Row(String name, long fencingNumber, boolean degraded, long heldForMillis, long validForMillis) {

        /**
         * Describes a lease.
         *
         * @param lease The lease.
         * @param now The current time.
         * @return Its description.
         */
        static Row of(HeldLease lease, MonotonicTime now) {
            return new Row(
                    lease.name().value(),
                    lease.fencingNumber(),
                    lease.degraded(),
                    now.since(lease.since()).toMillis(),
                    lease.validUntil().since(now).toMillis());
        }
    }
}
