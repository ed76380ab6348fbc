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
 * The table of the configured endpoints, with the state of each at this node. Only {@link EndpointSystem} and
 * {@link ProbeSystem} write to it.
 */
public final class EndpointTable implements EndpointView {

    /** The rows of the endpoints, as visible to other systems. */
    private final EntityTable<EndpointName, Endpoint> endpoints = new EntityTable<>();

    /** The leaving state of each endpoint. */
    private final EntityTable<EndpointName, LeavingState> leaving = new EntityTable<>();

    /** The probe state of each endpoint. */
    private final EntityTable<EndpointName, ProbeState> probes = new EntityTable<>();

    /** The estimated contents of the prefix caches. */
    private final PrefixIndex prefixes = new PrefixIndex();

    /** The names of the endpoints of each pool, sorted. */
    private final Map<PoolName, SortedSet<EndpointName>> pools = new HashMap<>();

    /** The names of the endpoints by address. */
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
     * Returns all endpoints of a pool regardless of their condition, ordered by name.
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
     * Returns the leaving state of an endpoint.
     *
     * @param name The endpoint's name.
     * @return The leaving state.
     */
    LeavingState leaving(EndpointName name) {
        return leaving.find(name).orElse(LeavingState.EMPTY);
    }

    /**
     * Returns the probe state of an endpoint.
     *
     * @param name The endpoint's name.
     * @return The probe state.
     */
    ProbeState probe(EndpointName name) {
        return probes.find(name).orElse(ProbeState.INITIAL);
    }

    /**
     * Returns the estimated contents of the prefix caches.
     *
     * @return The index.
     */
    PrefixIndex prefixes() {
        return prefixes;
    }

    /**
     * Adds an endpoint. An existing endpoint of this name is replaced and all of its state is discarded.
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
     * Removes an endpoint and all of its state.
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
     * Replaces the leaving state of an endpoint.
     *
     * @param name The endpoint's name.
     * @param state The new state.
     */
    void putLeaving(EndpointName name, LeavingState state) {
        leaving.put(name, state);
    }

    /**
     * Replaces the probe state of an endpoint.
     *
     * @param name The endpoint's name.
     * @param state The new state.
     */
    void putProbe(EndpointName name, ProbeState state) {
        probes.put(name, state);
    }

    /**
     * Recomputes an endpoint's condition from its complete state, so that the result does not depend on the order of
     * updates.
     *
     * @param name The endpoint's name.
     * @return The endpoint if its condition has changed, or empty if it has not.
     */
    Optional<Endpoint> updateCondition(EndpointName name) {
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
