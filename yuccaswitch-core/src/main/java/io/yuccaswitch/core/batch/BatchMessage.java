package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.peer.PeerMessage;

/** What nodes tell each other about batch jobs. */
public sealed interface BatchMessage extends PeerMessage {

    /**
     * A job was ended, such that its runner stops the items in progress at once.
     *
     * @param id The identifier of the job.
     */
    record Ended(String id) implements BatchMessage {}
}
