package io.yuccaswitch.core.quarantine;

import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.peer.PeerMessage;
import java.util.List;

/** What nodes tell each other of requests under which endpoints ended. */
public sealed interface QuarantineMessage extends PeerMessage {

    /**
     * Tells what the sender knows of some requests. The receiver merges it with what it knows itself.
     *
     * @param suspects The requests.
     * @param ended The endpoints that have ended lately.
     */
    record Told(List<Suspect> suspects, List<EndpointName> ended) implements QuarantineMessage {

        /**
         * Copies the lists.
         *
         * @param suspects The requests.
         * @param ended The endpoints that have ended lately.
         */
        public Told {
            suspects = List.copyOf(suspects);
            ended = List.copyOf(ended);
        }
    }

    /**
     * Asks whether the receiver knows the same. If not, it tells all that it knows and asks back.
     *
     * @param digest A digest of all that the sender knows.
     * @param asksBack Whether the receiver should ask back.
     */
    record Compare(long digest, boolean asksBack) implements QuarantineMessage {}
}
