package io.yuccaswitch.core.lease;

import io.yuccaswitch.core.peer.PeerMessage;

/** A message between nodes about leases. */
public sealed interface LeaseMessage extends PeerMessage {

    /**
     * The sender acts on a lease while the platform is silent.
     *
     * @param name The lease's name.
     * @param fencingNumber The fencing number that the sender acts with.
     */
    record Acting(String name, long fencingNumber) implements LeaseMessage {}
}
