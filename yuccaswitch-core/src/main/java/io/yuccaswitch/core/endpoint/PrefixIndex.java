package io.yuccaswitch.core.endpoint;

import io.yuccaswitch.core.identity.EndpointName;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * An estimate of the contents of the endpoints' prefix caches. It is built from events that arrive late and may be
 * lost, so it is only a hint: a prefix whose eviction event was lost remains until newer prefixes displace it.
 */
final class PrefixIndex {

    /** The maximum number of prefixes that are retained for an endpoint. */
    static final int MAXIMUM_PREFIXES = 1024;

    /** The cached prefixes of each endpoint, ordered from the least to the most recently reported. */
    private final Map<EndpointName, Map<Long, Boolean>> prefixes = new HashMap<>();

    /**
     * Applies a cache event.
     *
     * @param event The event.
     */
    void apply(EndpointEvent.PrefixCached event) {
        Map<Long, Boolean> hashes = prefixes.computeIfAbsent(event.endpoint(), _name -> new LinkedHashMap<>());
        hashes.remove(event.prefixHash());
        if (!event.cached()) {
            return;
        }
        hashes.put(event.prefixHash(), Boolean.TRUE);
        if (hashes.size() > MAXIMUM_PREFIXES) {
            hashes.remove(hashes.keySet().iterator().next());
        }
    }

    /**
     * Removes all prefixes of an endpoint that has restarted or was removed.
     *
     * @param endpoint The endpoint.
     */
    void forget(EndpointName endpoint) {
        prefixes.remove(endpoint);
    }

    /**
     * Counts the leading prefixes of a prompt that an endpoint probably has in its cache.
     *
     * @param endpoint The endpoint.
     * @param prefixHashes The hashes of the prompt's prefixes, from the shortest to the longest.
     * @return The number of leading prefixes.
     */
    int count(EndpointName endpoint, List<Long> prefixHashes) {
        Map<Long, Boolean> hashes = prefixes.getOrDefault(endpoint, Map.of());
        int count = 0;
        for (Long hash : prefixHashes) {
            if (!hashes.containsKey(hash)) {
                return count;
            }
            count++;
        }
        return count;
    }

    /**
     * Returns the number of prefixes that are retained for an endpoint.
     *
     * @param endpoint The endpoint.
     * @return The number of prefixes.
     */
    int size(EndpointName endpoint) {
        return prefixes.getOrDefault(endpoint, Map.of()).size();
    }
}
