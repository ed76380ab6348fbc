package io.yuccaswitch.core.weight;

import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.PoolName;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/** The tables that the weight systems share: the pools whose leases this node holds, and their engines. */
public final class WeightTables {

    /** The pools whose leases this node holds. */
    private final EntityTable<PoolName, PoolRow> pools = new EntityTable<>();

    /** The engines of these pools. */
    private final EntityTable<EndpointName, EngineRow> engines = new EntityTable<>();

    /** The pools that are due for processing in this tick. */
    private final Set<PoolName> due = new TreeSet<>();

    /**
     * Returns the version of a model that an engine is confirmed to hold.
     *
     * @param engine The engine.
     * @param model The model.
     * @return The version, or empty if it is unknown or this node does not hold the lease of the engine's pool.
     */
    public Optional<Long> confirmedVersion(EndpointName engine, String model) {
        return engines.find(engine).filter(row -> row.isCertain(model)).flatMap(row -> row.loaded(model));
    }

    /**
     * Returns the table of pools.
     *
     * @return The table of pools.
     */
    EntityTable<PoolName, PoolRow> pools() {
        return pools;
    }

    /**
     * Returns the table of engines.
     *
     * @return The table of engines.
     */
    EntityTable<EndpointName, EngineRow> engines() {
        return engines;
    }

    /**
     * Returns the names of the pools that are due for processing in this tick.
     *
     * @return The names, as a mutable set that the tracking system updates.
     */
    Set<PoolName> due() {
        return due;
    }

    /**
     * Returns the pools that are due for processing in this tick.
     *
     * @return The rows of these pools.
     */
    List<PoolRow> duePools() {
        List<PoolRow> rows = new ArrayList<>();
        due.forEach(name -> pools.find(name).ifPresent(rows::add));
        return rows;
    }

    /**
     * Returns the engines of a pool.
     *
     * @param pool The pool.
     * @return The engines, ordered by name.
     */
    List<EngineRow> enginesOf(PoolRow pool) {
        List<EngineRow> rows = new ArrayList<>(pool.plan().engines().size());
        pool.plan().engines().keySet().forEach(name -> engines.find(name).ifPresent(rows::add));
        return rows;
    }
}
