package io.yuccaswitch.core.configuration;

import java.util.Map;

/**
 * A pool of endpoints that serve the same requests.
 *
 * @param kind What the endpoints of the pool are.
 * @param endpoints The endpoints of the pool by their names.
 * @param fencing Whether the endpoints refuse an order that bears an old fencing number.
 * @param settlesRequests Whether the endpoints can say what became of a request id.
 * @param routing How requests are routed among the endpoints.
 * @param limits How much work the pool takes.
 * @param retry When requests are tried again.
 * @param weights How weights are brought to the endpoints.
 */
public record PoolSettings(
        @Setting(description = "What the endpoints of the pool are.") PoolKind kind,
        @Setting(description = "The endpoints of the pool by their names.") Map<String, EndpointSettings> endpoints,
        @Setting(
                        description = "Whether the endpoints refuse an order that bears an old fencing number.",
                        defaultValue = "ignored")
                FencingSupport fencing,
        @Setting(description = "Whether the endpoints can say what became of a request id.", defaultValue = "false")
                boolean settlesRequests,
        @Setting(description = "How requests are routed among the endpoints.") RoutingSettings routing,
        @Setting(description = "How much work the pool takes.") LimitSettings limits,
        @Setting(description = "When requests are tried again.") RetrySettings retry,
        @Setting(description = "How weights are brought to the endpoints.") WeightSettings weights) {

    /** Copies the collections. */
    public PoolSettings {
        endpoints = Map.copyOf(endpoints);
    }
}
