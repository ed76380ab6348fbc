package io.yuccaswitch.core.quarantine;

import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.peer.PeerMessage;
import java.util.List;

/** The messages by which nodes exchange the state of suspect requests. */
public sealed interface QuarantineMessage extends PeerMessage {

    /**
     * Carries the sender's state of some requests. The receiver merges it with its own state.
     *
     * @param suspects The requests.
     * @param ended The endpoints that have terminated recently.
     */
    record Update(List<Suspect> suspects, List<EndpointName> ended) implements QuarantineMessage {

        /**
         * Copies the lists.
         *
         * @param suspects The requests.
         * @param ended The endpoints that have terminated recently.
         */
        public Update {
            suspects = List.copyOf(suspects);
            ended = List.copyOf(ended);
        }
    }

    /**
     * Carries a digest of the sender's state. A receiver whose digest differs sends all of its requests, and its own
     * digest if a reply is requested.
     *
     * @param digest A digest of all requests recorded at the sender.
     * @param requestsReply Whether the receiver sends its own digest in return.
     */
    record DigestComparison(long digest, boolean requestsReply) implements QuarantineMessage {}
}
