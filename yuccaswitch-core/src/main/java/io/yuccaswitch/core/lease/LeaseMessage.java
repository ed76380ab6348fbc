package io.yuccaswitch.core.lease;

import io.yuccaswitch.core.peer.PeerMessage;
import io.yuccaswitch.core.value.Bytes;

/** A message between nodes about leases. */
public sealed interface LeaseMessage extends PeerMessage {

    /**
     * The sender acts on a lease while the platform is silent.
     *
     * @param name The lease's name.
     * @param fencingNumber The fencing number that the sender acts with.
     */
    record Acting(String name, long fencingNumber) implements LeaseMessage {}

    /**
     * The holder tells a successor what the platform keeps about a lease.
     *
     * @param name The lease's name.
     * @param version The platform's version of the record.
     * @param record The record as the platform keeps it.
     */
    record Recorded(String name, long version, Bytes record) implements LeaseMessage {}
}
