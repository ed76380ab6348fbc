package io.yuccaswitch.core.request;

import io.yuccaswitch.core.identity.CallerName;
import io.yuccaswitch.core.time.MonotonicTime;

/**
 * The outcome of a concluded request, retained to answer repetitions of the request.
 *
 * @param id The identifier of the request.
 * @param caller The caller that sent the request.
 * @param fingerprint The fingerprint of the request.
 * @param outcome The outcome.
 * @param retainedAt The time at which the outcome was stored.
 */
record RetainedOutcome(
        RequestId id, CallerName caller, long fingerprint, RecordedOutcome outcome, MonotonicTime retainedAt) {}
