package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.endpoint.EndpointEvent;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.PoolName;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The latest weight versions and capacities that engines reported when they were polled, independent of their answers
 * to requests.
 */
final class VersionReadings {

    /** The latest reports by engine. */
    private final Map<EndpointName, EndpointEvent.Reported> reports = new HashMap<>();

    /**
     * Records the engine reports of a tick.
     *
     * @param tick The current tick.
     */
    void observe(Tick tick) {
        for (EndpointEvent.Reported report : tick.events(EndpointEvent.Reported.class)) {
            reports.put(report.endpoint(), report);
        }
    }

    /**
     * Finds the version that an engine last reported for a model.
     *
     * @param engine The engine.
     * @param model The model.
     * @return The version, or empty if the engine reported none.
     */
    OptionalLong version(EndpointName engine, String model) {
        EndpointEvent.Reported report = reports.get(engine);
        Long version = report == null ? null : report.loadedVersions().get(model);
        return version == null ? OptionalLong.empty() : OptionalLong.of(version);
    }

    /**
     * Finds the number of requests that an engine processes concurrently.
     *
     * @param pool The pool of the engine.
     * @param engine The engine's name in its pool.
     * @param defaultCapacity The number to return if the engine reported none.
     * @return The number of requests.
     */
    int capacity(PoolName pool, String engine, int defaultCapacity) {
        EndpointEvent.Reported report = reports.get(new EndpointName(pool, engine));
        return report == null || report.load().capacity() <= 0
                ? defaultCapacity
                : report.load().capacity();
    }
}
