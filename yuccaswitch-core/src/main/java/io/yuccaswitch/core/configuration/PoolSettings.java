package io.yuccaswitch.core.configuration;

import java.util.Map;

/**
 * A pool of endpoints that serve the same requests.
 *
 * @param kind The kind of the pool's endpoints.
 * @param endpoints The endpoints of the pool by their names.
 * @param fencing Whether the endpoints reject an order with an old fencing number.
 * @param settlesRequests Whether the endpoints can report the outcome of a request by its id.
 * @param routing The routing of requests among the endpoints.
 * @param limits The limits on the work that the pool accepts.
 * @param retry The retries of requests.
 * @param weights The rollout of weights to the endpoints.
 */
public record PoolSettings(
        @Setting(description = "The kind of the pool's endpoints.") PoolKind kind,
        @Setting(description = "The endpoints of the pool by their names.") Map<String, EndpointSettings> endpoints,
        @Setting(
                        description = "Whether the endpoints reject an order with an old fencing number.",
                        defaultValue = "ignored")
                FencingSupport fencing,
        @Setting(
                        description = "Whether the endpoints can report the outcome of a request by its id.",
                        defaultValue = "false")
                boolean settlesRequests,
        @Setting(description = "The routing of requests among the endpoints.") RoutingSettings routing,
        @Setting(description = "The limits on the work that the pool accepts.") LimitSettings limits,
        @Setting(description = "The retries of requests.") RetrySettings retry,
        @Setting(description = "The rollout of weights to the endpoints.") WeightSettings weights) {

    /** Copies the collections. */
    public PoolSettings {
        endpoints = Map.copyOf(endpoints);
    }
}
