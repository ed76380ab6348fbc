package io.yuccaswitch.core.modelversion;

import io.yuccaswitch.core.identity.EndpointName;
import java.util.Map;

/**
 * What an engine says of the orders it carries out.
 *
 * @param incarnation Which start of the engine reports, or {@link EndpointName#UNTOLD}.
 * @param busy Whether it is carrying out an order.
 * @param sequence The number of orders that it has accepted since it started.
 * @param versions The versions of its models.
 */
public record EngineReport(long incarnation, boolean busy, long sequence, Map<String, Long> versions) {

    /** Copies the versions. */
    public EngineReport {
        versions = Map.copyOf(versions);
    }
}
