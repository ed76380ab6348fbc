package io.yuccaswitch.core.request;

import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.time.MonotonicTime;
import java.util.Optional;

/**
 * A row of the table of requests in progress.
 *
 * @param request The request.
 * @param fingerprint The fingerprint of the request.
 * @param stage The stage of the request.
 * @param stageSince The time at which the request entered the stage.
 * @param waiters The waiters for the outcome.
 * @param home The only incarnation of a node that may send the request, or empty if any node may.
 * @param window The issue window of the id, or {@link RequestClock#NO_WINDOW}.
 * @param history The history of the attempts.
 * @param notBefore The time before which the request is not sent again.
 * @param arrival The random number of the request's arrival at this node.
 */
record RequestRow(
        Request request,
        long fingerprint,
        RequestStage stage,
        MonotonicTime stageSince,
        Waiters waiters,
        Optional<NodeIdentity> home,
        long window,
        AttemptHistory history,
        MonotonicTime notBefore,
        long arrival) {

    /**
     * Creates the row of an arriving request.
     *
     * @param request The request.
     * @param waiters The waiters for the outcome.
     * @param now The current time.
     * @param arrival The random number of the arrival.
     * @return The row.
     */
    static RequestRow arrived(Request request, Waiters waiters, MonotonicTime now, long arrival) {
        return new RequestRow(
                request,
                request.fingerprint(),
                RequestStage.QUEUED,
                now,
                waiters,
                Optional.empty(),
                RequestClock.NO_WINDOW,
                AttemptHistory.EMPTY,
                now,
                arrival);
    }

    /**
     * Returns the identifier of the request.
     *
     * @return The identifier of the request.
     */
    RequestId id() {
        return request.id();
    }

    /**
     * Returns this row at another stage.
     *
     * @param changed The stage.
     * @param now The current time.
     * @return The changed row.
     */
    RequestRow withStage(RequestStage changed, MonotonicTime now) {
        return new RequestRow(request, fingerprint, changed, now, waiters, home, window, history, notBefore, arrival);
    }

    /**
     * Returns this row with other waiters.
     *
     * @param changed The waiters.
     * @return The changed row.
     */
    RequestRow withWaiters(Waiters changed) {
        return new RequestRow(
                request, fingerprint, stage, stageSince, changed, home, window, history, notBefore, arrival);
    }

    /**
     * Returns this row with a home.
     *
     * @param changed The home.
     * @param issued The issue window of the id.
     * @return The changed row.
     */
    RequestRow withHome(NodeIdentity changed, long issued) {
        return new RequestRow(
                request,
                fingerprint,
                stage,
                stageSince,
                waiters,
                Optional.of(changed),
                issued,
                history,
                notBefore,
                arrival);
    }

    /**
     * Returns this row with another history.
     *
     * @param changed The history.
     * @return The changed row.
     */
    RequestRow withHistory(AttemptHistory changed) {
        return new RequestRow(
                request, fingerprint, stage, stageSince, waiters, home, window, changed, notBefore, arrival);
    }

    /**
     * Returns this row with another deadline.
     *
     * @param changed The deadline.
     * @return The changed row.
     */
    RequestRow withDeadline(MonotonicTime changed) {
        return new RequestRow(
                request.withDeadline(changed),
                fingerprint,
                stage,
                stageSince,
                waiters,
                home,
                window,
                history,
                notBefore,
                arrival);
    }

    /**
     * Returns this row in the queue, to be sent no earlier than a time.
     *
     * @param earliest The time before which it is not sent.
     * @param now The current time.
     * @return The changed row.
     */
    RequestRow queuedUntil(MonotonicTime earliest, MonotonicTime now) {
        return new RequestRow(
                request, fingerprint, RequestStage.QUEUED, now, waiters, home, window, history, earliest, arrival);
    }
}
