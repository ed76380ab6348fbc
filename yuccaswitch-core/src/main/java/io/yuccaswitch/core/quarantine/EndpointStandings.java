package io.yuccaswitch.core.quarantine;

import io.yuccaswitch.core.identity.EndpointName;

/** Supplies the status of endpoints from a source other than requests. */
public interface EndpointStandings {

    /**
     * Returns the status of an endpoint.
     *
     * @param endpoint The endpoint, including its incarnation.
     * @return Its status.
     */
    Standing of(EndpointName endpoint);

    /** The status of an endpoint. */
    enum Standing {
        /** It is running and accepts requests. */
        WORKING,
        /** It is draining before a planned stop. */
        LEAVING,
        /** It has terminated, or was restarted as another incarnation. */
        GONE,
        /** Its status is unknown. */
        UNTOLD
    }

    /** A source that reports the status of every endpoint as unknown. */
    enum Untold implements EndpointStandings {
        /** The only instance. */
        INSTANCE;

        @Override
        public Standing of(EndpointName _endpoint) {
            return Standing.UNTOLD;
        }
    }
}
