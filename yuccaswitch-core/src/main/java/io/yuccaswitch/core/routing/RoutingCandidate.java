package io.yuccaswitch.core.routing;

import io.yuccaswitch.core.endpoint.Endpoint;

/**
 * An endpoint that could serve a request now.
 *
 * @param endpoint The endpoint.
 * @param ownInFlight The number of requests of this node in progress at the endpoint.
 * @param load The estimated number of requests of all nodes at the endpoint.
 * @param capacity The number of requests that the endpoint works on at the same time, or zero if it did not say.
 * @param cachedShare The share of the prompt's prefixes that the endpoint is believed to keep in its cache, between
 *     zero and one.
 * @param model The fitted iteration time of the endpoint.
 */
public record RoutingCandidate(
        Endpoint endpoint, int ownInFlight, double load, int capacity, double cachedShare, IterationTimeModel model) {}
