package io.yuccaswitch.core.registry;

import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.PoolName;
import java.util.List;
import java.util.Optional;

/** What is known of the endpoints that registered themselves. */
public interface EndpointRegistry {

    /**
     * Finds an endpoint.
     *
     * @param name The pool and the identifier of its start.
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
