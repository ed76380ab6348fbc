package io.yuccaswitch.core.endpoint;

import io.yuccaswitch.core.identity.EndpointName;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What is believed of the prefix caches of endpoints. It follows events that come late and with gaps, so it is only a
 * hint: a lost eviction stays believed until newer prefixes displace it.
 */
final class PrefixIndex {

    /** The largest number of prefixes that are remembered of an endpoint. */
    static final int MAXIMUM_PREFIXES = 1024;

    /** The remembered prefixes of each endpoint, the one whose news is oldest first. */
    private final Map<EndpointName, Map<Long, Boolean>> prefixes = new HashMap<>();

    /**
     * Takes in an event.
     *
     * @param event The event.
     */
    void apply(EndpointEvent.PrefixCached event) {
        Map<Long, Boolean> known = prefixes.computeIfAbsent(event.endpoint(), _name -> new LinkedHashMap<>());
        known.remove(event.prefixHash());
        if (!event.cached()) {
            return;
        }
        known.put(event.prefixHash(), Boolean.TRUE);
        if (known.size() > MAXIMUM_PREFIXES) {
            known.remove(known.keySet().iterator().next());
        }
    }

    /**
     * Forgets everything about an endpoint, whose process has started anew or which is gone.
     *
     * @param endpoint The endpoint.
     */
    void forget(EndpointName endpoint) {
        prefixes.remove(endpoint);
    }

    /**
     * Counts the leading prefixes of a prompt that an endpoint is believed to keep.
     *
     * @param endpoint The endpoint.
     * @param prefixHashes The hashes of the prompt's prefixes, from the shortest to the longest.
     * @return The number of leading prefixes.
     */
    int count(EndpointName endpoint, List<Long> prefixHashes) {
        Map<Long, Boolean> known = prefixes.getOrDefault(endpoint, Map.of());
        int count = 0;
        for (Long hash : prefixHashes) {
            if (!known.containsKey(hash)) {
                return count;
            }
            count++;
        }
        return count;
    }

    /**
     * Returns the number of prefixes that are remembered of an endpoint.
     *
     * @param endpoint The endpoint.
     * @return The number of prefixes.
     */
    int size(EndpointName endpoint) {
        return prefixes.getOrDefault(endpoint, Map.of()).size();
    }
}
