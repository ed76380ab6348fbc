package io.yuccaswitch.core.endpoint;

import io.yuccaswitch.core.time.MonotonicTime;

/**
 * The load that an endpoint reported. A report lags behind the endpoint's actual load.
 *
 * @param receivedAt The time at which the report was received.
 * @param active The number of requests that the endpoint is processing.
 * @param waiting The number of requests that are queued at the endpoint.
 * @param capacity The number of requests that the endpoint can process concurrently, or zero if it did not report this.
 * @param cacheUse The used fraction of the endpoint's cache, between zero and one.
 */
public record LoadReport(MonotonicTime receivedAt, int active, int waiting, int capacity, double cacheUse) {}
