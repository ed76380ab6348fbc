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
     * An endpoint said itself that it is leaving. The receiver passes the news on if it is new to it.
     *
     * @param endpoint The endpoint's name.
     * @param incarnation The incarnation that is leaving.
     */
    record Leaving(EndpointName endpoint, String incarnation) implements EndpointMessage {}

    /**
     * Tells whether the platform lists the VM of an endpoint as leaving. The receiver passes the news on if it is new
     * to it.
     *
     * @param endpoint The endpoint's name.
     * @param leaving {@code true} if the VM is listed as leaving.
     */
    record Listed(EndpointName endpoint, boolean leaving) implements EndpointMessage {}

    /**
     * Asks a node that reads the platform's list whether the VM of an endpoint is listed as leaving, to be answered by
     * {@link Listed} if the list was read of late.
     *
     * @param endpoint The endpoint's name.
     */
    record ListedQuery(EndpointName endpoint) implements EndpointMessage {}
}
