package io.yuccaswitch.core.endpoint;

import io.yuccaswitch.core.configuration.PoolKind;
import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.EndpointName;
import java.util.Map;
import java.util.Optional;

/**
 * A row of the table of endpoints.
 *
 * @param name The endpoint's name.
 * @param kind The kind of the endpoint's pool.
 * @param address The endpoint's address as {@code host:port}.
 * @param availabilityZone The availability zone of the endpoint.
 * @param condition The endpoint's condition.
 * @param incarnation The incarnation that the endpoint last reported, or empty if it has not reported yet.
 * @param load The endpoint's latest load report, or empty if there is none yet.
 * @param loadedVersions The weight versions that the endpoint last reported, by model or adapter.
 */
public record Endpoint(
        EndpointName name,
        PoolKind kind,
        String address,
        AvailabilityZone availabilityZone,
        EndpointCondition condition,
        Optional<String> incarnation,
        Optional<LoadReport> load,
        Map<String, Long> loadedVersions) {

    /** Copies the map. */
    public Endpoint {
        loadedVersions = Map.copyOf(loadedVersions);
    }

    /**
     * Returns this endpoint in another condition.
     *
     * @param changed The new condition.
     * @return The changed endpoint.
     */
    public Endpoint withCondition(EndpointCondition changed) {
        return new Endpoint(name, kind, address, availabilityZone, changed, incarnation, load, loadedVersions);
    }

    /**
     * Returns this endpoint after it reported its state.
     *
     * @param reportedIncarnation The incarnation that the endpoint reported.
     * @param report The load that the endpoint reported.
     * @param versions The weight versions that the endpoint reported, by model or adapter.
     * @return The changed endpoint.
     */
    public Endpoint withReport(String reportedIncarnation, LoadReport report, Map<String, Long> versions) {
        return new Endpoint(
                name,
                kind,
                address,
                availabilityZone,
                condition,
                Optional.of(reportedIncarnation),
                Optional.of(report),
                versions);
    }

    /**
     * Returns this endpoint without its load report, which is stale.
     *
     * @return The changed endpoint.
     */
    public Endpoint withoutLoad() {
        return new Endpoint(
                name, kind, address, availabilityZone, condition, incarnation, Optional.empty(), loadedVersions);
    }

    /**
     * Returns this endpoint with the kind and availability zone of a configuration.
     *
     * @param changedKind The new kind of the endpoint's pool.
     * @param changedZone The new availability zone.
     * @return The changed endpoint.
     */
    public Endpoint withSettings(PoolKind changedKind, AvailabilityZone changedZone) {
        return new Endpoint(name, changedKind, address, changedZone, condition, incarnation, load, loadedVersions);
    }
}
