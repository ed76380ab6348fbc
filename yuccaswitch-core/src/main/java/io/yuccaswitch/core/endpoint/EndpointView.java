package io.yuccaswitch.core.endpoint;

import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.PoolName;
import java.util.List;

/** What other systems may ask of the table of endpoints. */
public interface EndpointView {

    /**
     * Returns the endpoints of a pool that take new work, ordered by name.
     *
     * @param pool The pool.
     * @return The endpoints in condition {@link EndpointCondition#LIVE}.
     */
    List<Endpoint> candidates(PoolName pool);

    /**
     * Counts how many of a prompt's prefixes an endpoint is believed to keep in its cache. What is known of a cache
     * comes late and with gaps, so the count is a hint.
     *
     * @param endpoint The endpoint.
     * @param prefixHashes The hashes of the prompt's prefixes, from the shortest to the longest.
     * @return The number of leading prefixes that the endpoint is believed to keep.
     */
    default int cachedPrefixes(EndpointName endpoint, List<Long> prefixHashes) {
        return 0;
    }
}
