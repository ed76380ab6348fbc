package io.yuccaswitch.core.configuration;

import io.yuccaswitch.core.identity.AvailabilityZone;

/**
 * An endpoint of a pool.
 *
 * @param address The address of the endpoint as host:port.
 * @param availabilityZone The availability zone of the endpoint.
 * @param accelerators The number of accelerators that the endpoint uses.
 */
public record EndpointSettings(
        @Setting(description = "The address of the endpoint as host:port.") String address,
        @Setting(description = "The availability zone of the endpoint.", references = "availabilityZones")
                AvailabilityZone availabilityZone,
        @Setting(
                        description = "The number of accelerators that the endpoint uses.",
                        defaultValue = "1",
                        minimum = "0",
                        maximum = "1024")
                int accelerators) {}
