package io.yuccaswitch.core.endpoint;

import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.PoolName;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * The table of the endpoints that the configuration names, with what this node believes of each. It is written by
 * {@link EndpointSystem} alone.
 */
public final class EndpointTable implements EndpointView {

    /** The endpoints as other systems see them. */
    private final EntityTable<EndpointName, Endpoint> endpoints = new EntityTable<>();

    /** What is known about the leaving of endpoints. */
    private final EntityTable<EndpointName, LeavingKnowledge> leaving = new EntityTable<>();

    /** Where the probing of endpoints stands. */
    private final EntityTable<EndpointName, ProbeState> probes = new EntityTable<>();

    /** What is believed of the prefix caches. */
    private final PrefixIndex prefixes = new PrefixIndex();

    /** The names of the endpoints by pool, in order. */
    private final Map<PoolName, SortedSet<EndpointName>> pools = new HashMap<>();

    /** The endpoints by address. */
    private final Map<String, EndpointName> addresses = new HashMap<>();

    /** The number of changes of the set of endpoints or of a condition. */
    private long version;

    /** {@inheritDoc} */
    @Override
    public List<Endpoint> candidates(PoolName pool) {
        List<Endpoint> candidates = new ArrayList<>();
        for (Endpoint endpoint : pool(pool)) {
            if (endpoint.condition() == EndpointCondition.LIVE) {
                candidates.add(endpoint);
            }
        }
        return candidates;
    }

    /** {@inheritDoc} */
    @Override
    public int cachedPrefixes(EndpointName endpoint, List<Long> prefixHashes) {
        return prefixes.count(endpoint, prefixHashes);
    }

    /**
     * Returns all endpoints of a pool in whatever condition, ordered by name.
     *
     * @param pool The pool.
     * @return The endpoints of the pool.
     */
    public List<Endpoint> pool(PoolName pool) {
        Set<EndpointName> names = pools.getOrDefault(pool, Collections.emptySortedSet());
        List<Endpoint> found = new ArrayList<>(names.size());
        for (EndpointName name : names) {
            endpoints.find(name).ifPresent(found::add);
        }
        return found;
    }

    /**
     * Returns the names of all pools that have endpoints.
     *
     * @return The names of the pools.
     */
    public Set<PoolName> poolNames() {
        return Set.copyOf(pools.keySet());
    }

    /**
     * Returns a live view of all endpoints.
     *
     * @return The endpoints of all pools.
     */
    public Collection<Endpoint> view() {
        return endpoints.view();
    }

    /**
     * Finds an endpoint.
     *
     * @param name The endpoint's name.
     * @return The endpoint, or empty if the configuration does not name it.
     */
    public Optional<Endpoint> find(EndpointName name) {
        return endpoints.find(name);
    }

    /**
     * Finds the endpoint at an address.
     *
     * @param address The address as {@code host:port}.
     * @return The endpoint, or empty if there is none.
     */
    public Optional<Endpoint> findAt(String address) {
        return Optional.ofNullable(addresses.get(address)).flatMap(endpoints::find);
    }

    /**
     * Returns the number of changes of the set of endpoints or of a condition so far.
     *
     * @return The number of changes.
     */
    public long version() {
        return version;
    }

    /**
     * Returns what is known about the leaving of an endpoint.
     *
     * @param name The endpoint's name.
     * @return The knowledge.
     */
    LeavingKnowledge leaving(EndpointName name) {
        return leaving.find(name).orElse(LeavingKnowledge.NOTHING);
    }

    /**
     * Returns where the probing of an endpoint stands.
     *
     * @param name The endpoint's name.
     * @return The state.
     */
    ProbeState probe(EndpointName name) {
        return probes.find(name).orElse(ProbeState.NEW);
    }

    /**
     * Returns what is believed of the prefix caches.
     *
     * @return The index.
     */
    PrefixIndex prefixes() {
        return prefixes;
    }

    /**
     * Adds an endpoint, or replaces one whose address has changed, of which nothing is known yet.
     *
     * @param endpoint The endpoint.
     */
    void add(Endpoint endpoint) {
        remove(endpoint.name());
        endpoints.put(endpoint.name(), endpoint);
        pools.computeIfAbsent(endpoint.name().pool(), _pool -> new TreeSet<>()).add(endpoint.name());
        addresses.put(endpoint.address(), endpoint.name());
        version++;
    }

    /**
     * Removes an endpoint with all that is known of it.
     *
     * @param name The endpoint's name.
     */
    void remove(EndpointName name) {
        Optional<Endpoint> removed = endpoints.remove(name);
        if (removed.isEmpty()) {
            return;
        }
        pools.computeIfPresent(name.pool(), (_pool, names) -> without(names, name));
        addresses.remove(removed.get().address(), name);
        leaving.remove(name);
        probes.remove(name);
        prefixes.forget(name);
        version++;
    }

    /**
     * Replaces an endpoint's row.
     *
     * @param endpoint The new row.
     */
    void put(Endpoint endpoint) {
        endpoints.put(endpoint.name(), endpoint);
    }

    /**
     * Replaces what is known about the leaving of an endpoint.
     *
     * @param name The endpoint's name.
     * @param knowledge The new knowledge.
     */
    void putLeaving(EndpointName name, LeavingKnowledge knowledge) {
        leaving.put(name, knowledge);
    }

    /**
     * Replaces where the probing of an endpoint stands.
     *
     * @param name The endpoint's name.
     * @param state The new state.
     */
    void putProbe(EndpointName name, ProbeState state) {
        probes.put(name, state);
    }

    /**
     * Computes an endpoint's condition anew from all that is known, such that the order in which news came does not
     * matter.
     *
     * @param name The endpoint's name.
     * @return The endpoint if its condition has changed, or empty if it has not.
     */
    Optional<Endpoint> settleCondition(EndpointName name) {
        Optional<Endpoint> endpoint = endpoints.find(name);
        if (endpoint.isEmpty()) {
            return Optional.empty();
        }
        EndpointCondition condition = condition(endpoint.get());
        if (condition == endpoint.get().condition()) {
            return Optional.empty();
        }
        version++;
        return endpoints.update(name, row -> row.withCondition(condition));
    }

    /**
     * Computes the condition of an endpoint.
     *
     * @param endpoint The endpoint.
     * @return The condition.
     */
    private EndpointCondition condition(Endpoint endpoint) {
        if (leaving(endpoint.name()).covers(endpoint.incarnation())) {
            return EndpointCondition.LEAVING;
        }
        return probe(endpoint.name()).down() ? EndpointCondition.DOWN : EndpointCondition.LIVE;
    }

    /**
     * Removes a name from a set.
     *
     * @param names The set.
     * @param name The name to remove.
     * @return The set, or {@code null} if it is empty now.
     */
    private static SortedSet<EndpointName> without(SortedSet<EndpointName> names, EndpointName name) {
        names.remove(name);
        return names.isEmpty() ? null : names;
    }
}
