package io.yuccaswitch.core.configuration;

import java.time.Duration;

/**
 * How requests are routed among the endpoints of a pool.
 *
 * @param policy The policy that picks an endpoint among the candidates.
 * @param subsetSize The number of endpoints that one node routes to.
 * @param loadReportInterval The interval at which a node asks an endpoint for its load.
 * @param loadReportMaximumAge The age past which a load report no longer counts.
 * @param prefixAffinity The weight of a cached prompt prefix against load, where zero ignores the cache.
 */
public record RoutingSettings(
        @Setting(
                        description = "The policy that picks an endpoint among the candidates.",
                        defaultValue = "iteration-time-estimate")
                RoutingPolicyKind policy,
        @Setting(
                        description = "The number of endpoints that one node routes to.",
                        defaultValue = "16",
                        minimum = "1",
                        maximum = "1024")
                int subsetSize,
        @Setting(
                        description = "The interval at which a node asks an endpoint for its load.",
                        defaultValue = "500ms",
                        minimum = "50ms",
                        maximum = "1m")
                Duration loadReportInterval,
        @Setting(
                        description = "The age past which a load report no longer counts.",
                        defaultValue = "5s",
                        minimum = "100ms",
                        maximum = "5m")
                Duration loadReportMaximumAge,
        @Setting(
                        description =
                                "The weight of a cached prompt prefix against load, where zero ignores the cache.",
                        defaultValue = "0.5",
                        minimum = "0",
                        maximum = "10")
                double prefixAffinity) {}
