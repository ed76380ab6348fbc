package io.yuccaswitch.core.modelversion;

import io.yuccaswitch.core.identity.EndpointName;
import java.util.Map;

/**
 * The report of an engine about the orders that it executes.
 *
 * @param incarnation The incarnation of the engine, or {@link EndpointName#UNKNOWN}.
 * @param busy Whether the engine is executing an order.
 * @param sequence The number of orders that the engine has accepted since it started.
 * @param versions The versions of its models.
 */
public record EngineReport(long incarnation, boolean busy, long sequence, Map<String, Long> versions) {

    /** Copies the versions. */
    public EngineReport {
        versions = Map.copyOf(versions);
    }
}
