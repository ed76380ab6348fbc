package io.yuccaswitch.core.request;

import io.yuccaswitch.core.identity.CallerName;
import io.yuccaswitch.core.time.MonotonicTime;

/**
 * The outcome of a finished request, kept for a request that is sent again.
 *
 * @param id The identifier of the request.
 * @param caller The caller that made the request.
 * @param fingerprint The fingerprint of the request.
 * @param outcome The outcome.
 * @param keptAt The time since which the outcome is kept.
 */
record KeptAnswer(RequestId id, CallerName caller, long fingerprint, RecordedOutcome outcome, MonotonicTime keptAt) {}
