package io.yuccaswitch.core.lease;

import io.yuccaswitch.core.peer.PeerMessage;
import io.yuccaswitch.core.value.Bytes;

/** A message between nodes about leases. */
public sealed interface LeaseMessage extends PeerMessage {

    /**
     * Announces that the sender acts on a lease while the platform is unreachable.
     *
     * @param name The lease's name.
     * @param fencingNumber The fencing number that the sender acts with.
     */
    record Acting(String name, long fencingNumber) implements LeaseMessage {}

    /**
     * Notifies a successor of the platform's record of a lease.
     *
     * @param name The lease's name.
     * @param version The platform's version of the record.
     * @param record The record as the platform stores it.
     */
    record Recorded(String name, long version, Bytes record) implements LeaseMessage {}
}
