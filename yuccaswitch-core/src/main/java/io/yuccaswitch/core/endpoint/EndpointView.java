package io.yuccaswitch.core.endpoint;

import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.PoolName;
import java.util.List;

/** A read-only view of the table of endpoints for other systems. */
public interface EndpointView {

    /**
     * Returns the endpoints of a pool that accept new requests, ordered by name.
     *
     * @param pool The pool.
     * @return The endpoints in condition {@link EndpointCondition#LIVE}.
     */
    List<Endpoint> candidates(PoolName pool);

    /**
     * Counts the leading prefixes of a prompt that an endpoint probably has in its cache. Cache events arrive late and
     * may be lost, so the count is only a hint.
     *
     * @param endpoint The endpoint.
     * @param prefixHashes The hashes of the prompt's prefixes, from the shortest to the longest.
     * @return The number of leading prefixes that the endpoint probably has in its cache.
     */
    default int cachedPrefixes(EndpointName endpoint, List<Long> prefixHashes) {
        return 0;
    }
}
