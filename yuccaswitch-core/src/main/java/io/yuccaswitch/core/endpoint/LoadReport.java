package io.yuccaswitch.core.endpoint;

import io.yuccaswitch.core.time.MonotonicTime;

/**
 * What an endpoint said about its load. A report lags behind the endpoint's true state.
 *
 * @param receivedAt The time at which the report was received.
 * @param active The number of requests that are being worked on.
 * @param waiting The number of requests that wait at the endpoint.
 * @param capacity The number of requests that the endpoint works on at the same time, or zero if it did not say.
 * @param cacheUse The used share of the endpoint's cache, between zero and one.
 */
public record LoadReport(MonotonicTime receivedAt, int active, int waiting, int capacity, double cacheUse) {}
