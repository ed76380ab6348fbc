package io.yuccaswitch.core.quarantine;

import io.yuccaswitch.core.identity.EndpointName;

/** Supplies the state of endpoints from a source other than requests. */
public interface EndpointStates {

    /**
     * Returns the state of an endpoint.
     *
     * @param endpoint The endpoint, including its incarnation.
     * @return Its state.
     */
    State of(EndpointName endpoint);

    /** The state of an endpoint. */
    enum State {
        /** It is running and accepts requests. */
        WORKING,
        /** It is draining before a planned stop. */
        LEAVING,
        /** It has terminated, or was restarted as another incarnation. */
        GONE,
        /** Its state is unknown. */
        UNKNOWN
    }

    /** A source that reports the state of every endpoint as unknown. */
    enum Unknown implements EndpointStates {
        /** The only instance. */
        INSTANCE;

        @Override
        public State of(EndpointName _endpoint) {
            return State.UNKNOWN;
        }
    }
}
