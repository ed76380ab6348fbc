package io.yuccaswitch.core.configuration;

import java.time.Duration;

/**
 * The routing of requests among the endpoints of a pool.
 *
 * @param policy The policy that selects an endpoint among the candidates.
 * @param subsetSize The number of endpoints to which one node routes.
 * @param loadReportInterval The interval at which a node queries the load of an endpoint.
 * @param loadReportMaximumAge The age beyond which a load report is stale.
 * @param prefixAffinity The weight of a cached prompt prefix relative to load, where zero ignores the cache.
 */
public record RoutingSettings(
        @Setting(
                        description = "The policy that selects an endpoint among the candidates.",
                        defaultValue = "iteration-time-estimate")
                RoutingPolicyKind policy,
        @Setting(
                        description = "The number of endpoints to which one node routes.",
                        defaultValue = "16",
                        minimum = "1",
                        maximum = "1024")
                int subsetSize,
        @Setting(
                        description = "The interval at which a node queries the load of an endpoint.",
                        defaultValue = "500ms",
                        minimum = "50ms",
                        maximum = "1m")
                Duration loadReportInterval,
        @Setting(
                        description = "The age beyond which a load report is stale.",
                        defaultValue = "5s",
                        minimum = "100ms",
                        maximum = "5m")
                Duration loadReportMaximumAge,
        @Setting(
                        description =
                                "The weight of a cached prompt prefix relative to load, where zero ignores the cache.",
                        defaultValue = "0.5",
                        minimum = "0",
                        maximum = "10")
                double prefixAffinity) {}
