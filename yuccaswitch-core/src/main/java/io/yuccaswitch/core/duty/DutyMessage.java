package io.yuccaswitch.core.duty;

import io.yuccaswitch.core.peer.PeerMessage;
import io.yuccaswitch.core.value.Bytes;

/** Messages between nodes about the duty lease. */
public sealed interface DutyMessage extends PeerMessage {

    /**
     * Requests another node to renew the sender's lease at the platform.
     *
     * @param ticket The sender's identifier of this request, which the answer repeats.
     * @param expectedVersion The expected version of the lease object.
     * @param value The new value of the lease.
     */
    record RenewLease(long ticket, long expectedVersion, Bytes value) implements DutyMessage {}

    /**
     * Reports the platform's answer to a renewal.
     *
     * @param ticket The ticket of the request.
     * @param granted Whether the renewal took effect.
     * @param version The current version of the lease object.
     * @param value The current value of the lease.
     */
    record RenewalAnswered(long ticket, boolean granted, long version, Bytes value) implements DutyMessage {}

    /**
     * Announces that the sender has released the lease.
     *
     * @param version The current version of the lease object.
     * @param value The current value of the lease.
     */
    record LeaseReleased(long version, Bytes value) implements DutyMessage {}
}
