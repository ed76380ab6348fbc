package io.yuccaswitch.core.registry;

import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.PoolName;
import java.util.List;
import java.util.Optional;

/** This node's state of the endpoints that registered themselves. */
public interface EndpointRegistry {

    /**
     * Finds an incarnation of an endpoint.
     *
     * @param name The pool, and the identifier and incarnation of the endpoint.
     * @return The endpoint, or empty if it is gone.
     */
    Optional<RegisteredEndpoint> find(EndpointName name);

    /**
     * Returns the endpoints of a pool that may get new work.
     *
     * @param pool The pool.
     * @return The endpoints that are not leaving.
     */
    List<RegisteredEndpoint> working(PoolName pool);

    /**
     * Returns all endpoints that may get new work.
     *
     * @return The endpoints that are not leaving.
     */
    List<RegisteredEndpoint> working();
}
