package io.yuccaswitch.core.routing;

import io.yuccaswitch.core.endpoint.Endpoint;

/**
 * An endpoint that could serve a request now.
 *
 * @param endpoint The endpoint.
 * @param ownInFlight The number of requests of this node in flight at the endpoint.
 * @param load The estimated number of requests of all nodes at the endpoint.
 * @param capacity The number of requests that the endpoint processes concurrently, or zero if it did not report one.
 * @param cachedShare The estimated share of the prompt's prefixes in the endpoint's cache, between zero and one.
 * @param model The fitted model of the endpoint's iteration time.
 */
public record RoutingCandidate(
        Endpoint endpoint, int ownInFlight, double load, int capacity, double cachedShare, IterationTimeModel model) {}
