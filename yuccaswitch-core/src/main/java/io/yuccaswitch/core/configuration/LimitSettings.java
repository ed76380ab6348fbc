package io.yuccaswitch.core.configuration;

import java.time.Duration;

/**
 * The limits on the work that a pool accepts.
 *
 * @param initialConcurrency The number of concurrent requests of a node at an endpoint before the node has determined
 *     the endpoint's limit.
 * @param maximumConcurrency The maximum number of concurrent requests of a node at an endpoint.
 * @param queueLength The maximum number of requests for the pool that are queued on a node.
 * @param defaultDeadline The maximum duration of a request whose caller specifies no deadline.
 */
public record LimitSettings(
        @Setting(
                        description =
                                "The number of concurrent requests of a node at an endpoint before the node has determined the endpoint's limit.",
                        defaultValue = "8",
                        minimum = "1",
                        maximum = "4096")
                int initialConcurrency,
        @Setting(
                        description = "The maximum number of concurrent requests of a node at an endpoint.",
                        defaultValue = "64",
                        minimum = "1",
                        maximum = "4096")
                int maximumConcurrency,
        @Setting(
                        description = "The maximum number of requests for the pool that are queued on a node.",
                        defaultValue = "256",
                        minimum = "0",
                        maximum = "65536")
                int queueLength,
        @Setting(
                        description = "The maximum duration of a request whose caller specifies no deadline.",
                        defaultValue = "60s",
                        minimum = "10ms",
                        maximum = "1h")
                Duration defaultDeadline) {}
