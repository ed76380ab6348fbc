package io.yuccaswitch.core.endpoint;

import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.peer.PeerMessage;

/** A message between nodes that concerns an endpoint. */
public sealed interface EndpointMessage extends PeerMessage {

    /**
     * Returns the endpoint that the message is about.
     *
     * @return The endpoint's name.
     */
    EndpointName endpoint();

    /**
     * Announces that an endpoint itself reported that it is leaving. The receiver forwards the message if it had not
     * recorded this yet.
     *
     * @param endpoint The endpoint's name.
     * @param incarnation The incarnation that is leaving.
     */
    record Leaving(EndpointName endpoint, String incarnation) implements EndpointMessage {}

    /**
     * Reports whether the platform lists the VM of an endpoint as leaving. The receiver forwards the message if it had
     * not recorded the VM as listed yet.
     *
     * @param endpoint The endpoint's name.
     * @param leaving {@code true} if the VM is listed as leaving.
     */
    record Listed(EndpointName endpoint, boolean leaving) implements EndpointMessage {}

    /**
     * Queries the node that reads the platform's list whether the VM of an endpoint is listed as leaving. The answer is
     * {@link Listed}, which is sent only if the list is not stale.
     *
     * @param endpoint The endpoint's name.
     */
    record ListedQuery(EndpointName endpoint) implements EndpointMessage {}
}
