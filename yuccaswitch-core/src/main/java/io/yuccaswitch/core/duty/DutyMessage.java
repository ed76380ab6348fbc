package io.yuccaswitch.core.duty;

import io.yuccaswitch.core.peer.PeerMessage;
import io.yuccaswitch.core.value.Bytes;

/** What nodes tell each other about the lease of the duties. */
public sealed interface DutyMessage extends PeerMessage {

    /**
     * Asks another node to renew the lease of the sender at the platform.
     *
     * @param ticket The sender's ticket, which the answer bears.
     * @param expectedVersion The version that the lease's object must have.
     * @param value The lease's new value.
     */
    record RenewLease(long ticket, long expectedVersion, Bytes value) implements DutyMessage {}

    /**
     * Says what the platform answered to a renewal.
     *
     * @param ticket The ticket of the request.
     * @param granted Whether the renewal took effect.
     * @param version The version of the lease's object.
     * @param value The lease as it is.
     */
    record LeaseAnswered(long ticket, boolean granted, long version, Bytes value) implements DutyMessage {}

    /**
     * Says that the sender has given the lease back.
     *
     * @param version The version of the lease's object.
     * @param value The lease as it is.
     */
    record LeaseGivenBack(long version, Bytes value) implements DutyMessage {}
}
