package io.yuccaswitch.core.registry;

import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.PoolName;
import java.util.Map;
import java.util.OptionalLong;

/**
 * One incarnation of an endpoint, as it registered itself.
 *
 * @param name The name of this incarnation.
 * @param address The host and port.
 * @param availabilityZone The availability zone.
 * @param slots The number of requests that it processes concurrently.
 * @param leaving Whether it is about to stop and must get no new work.
 * @param versions The versions of the models that it serves, by model. Empty for a plain service.
 */
public record RegisteredEndpoint(
        EndpointName name,
        String address,
        AvailabilityZone availabilityZone,
        int slots,
        boolean leaving,
        Map<String, Long> versions) {

    /** Copies the versions. */
    public RegisteredEndpoint {
        versions = Map.copyOf(versions);
    }

    /**
     * Returns a later incarnation of this endpoint, whose versions are not known yet.
     *
     * @param incarnation The later incarnation.
     * @return The endpoint, without versions.
     */
    public RegisteredEndpoint withIncarnation(long incarnation) {
        return new RegisteredEndpoint(
                name.withIncarnation(incarnation), address, availabilityZone, slots, leaving, Map.of());
    }

    /**
     * Returns the pool.
     *
     * @return The pool.
     */
    public PoolName pool() {
        return name.pool();
    }

    /**
     * Returns the version of a model.
     *
     * @param model The model.
     * @return The version, or empty if the endpoint does not serve the model.
     */
    public OptionalLong version(String model) {
        Long version = versions.get(model);
        return version == null ? OptionalLong.empty() : OptionalLong.of(version);
    }

    /**
     * Returns whether the endpoint serves a model at a version or a newer one.
     *
     * @param model The model.
     * @param minimum The minimum version.
     * @return {@code true} if it does.
     */
    public boolean servesAtLeast(String model, long minimum) {
        OptionalLong version = version(model);
        return version.isPresent() && version.getAsLong() >= minimum;
    }

    /**
     * Returns this endpoint with a newer version of a model.
     *
     * @param model The model.
     * @param version The version.
     * @return The endpoint.
     */
    public RegisteredEndpoint withVersion(String model, long version) {
        Map<String, Long> changed = new java.util.HashMap<>(versions);
        changed.merge(model, version, Math::max);
        return new RegisteredEndpoint(name, address, availabilityZone, slots, leaving, changed);
    }
}
