package io.yuccaswitch.core.quarantine;

import io.yuccaswitch.core.identity.EndpointName;

/** What is known of endpoints from a source other than requests. */
public interface EndpointStandings {

    /**
     * Returns how an endpoint stands.
     *
     * @param endpoint The start of the endpoint.
     * @return How it stands.
     */
    Standing of(EndpointName endpoint);

    /** How an endpoint stands. */
    enum Standing {
        /** It is there and takes requests. */
        WORKING,
        /** It is about to stop as planned. */
        LEAVING,
        /** It is gone, or has started again. */
        GONE,
        /** Nothing is known. */
        UNTOLD
    }

    /** Nothing is known of any endpoint. */
    enum Untold implements EndpointStandings {
        /** The only instance. */
        INSTANCE;

        @Override
        public Standing of(EndpointName _endpoint) {
            return Standing.UNTOLD;
        }
    }
}
