package io.yuccaswitch.core.modelversion;

import java.util.Map;

/**
 * What an engine says of the orders it carries out.
 *
 * @param busy Whether it is carrying out an order.
 * @param sequence The number of orders that it has accepted since it started.
 * @param versions The versions of its models.
 */
public record EngineReport(boolean busy, long sequence, Map<String, Long> versions) {

    /** Copies the versions. */
    public EngineReport {
        versions = Map.copyOf(versions);
    }
}
