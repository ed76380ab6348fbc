package io.yuccaswitch.node.gateway;

import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;

/**
 * A planned stop of this node, which bounds the requests that it may still take. At first it takes all, as callers may
 * use an earlier answer of the directory. Later it takes a request only if the request's deadline is before the end of
 * the stop: a longer one may be cut, while another node can serve it whole.
 *
 * @param begunAt When the stop began.
 * @param workTime The time after which all work in progress ends.
 */
record PlannedStop(MonotonicTime begunAt, Duration workTime) {

    /**
     * How long all requests are taken. Requests that are sent later than 3 s after the signal must be answered; the
     * rest is left for the delay of the signal and of the request.
     */
    static final Duration FULL_SERVICE_DURATION = Duration.ofMillis(2700);

    /** The time before the end of all work by which requests that are taken late must be answered. */
    private static final Duration ANSWER_MARGIN = Duration.ofMillis(100);

    /**
     * Returns whether a request that no endpoint has received yet may be sent to one.
     *
     * @param deadline The request's deadline.
     * @param now The current time.
     * @return {@code false} if the stop may cut it.
     */
    boolean admits(MonotonicTime deadline, MonotonicTime now) {
        return now.isBefore(begunAt.plus(FULL_SERVICE_DURATION))
                || deadline.isBefore(begunAt.plus(workTime).plus(ANSWER_MARGIN.negated()));
    }
}
