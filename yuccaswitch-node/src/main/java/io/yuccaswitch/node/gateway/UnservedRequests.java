package io.yuccaswitch.node.gateway;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;

/** Answers plain requests that no endpoint answered, and states whether they may have run. */
final class UnservedRequests {

    /** The status of a request that did not run and may be retried after a delay. */
    private static final int UNAVAILABLE = 503;

    /** The status of a request that may have run without a usable answer. */
    static final int BAD_GATEWAY = 502;

    /** The status of a request that may have run before its time elapsed. */
    static final int GATEWAY_TIMEOUT = 504;

    /** The reason if this node is about to end. */
    static final String STOPPING = "this node is stopping";

    /** Determines when callers return. */
    private final EndpointAssignment assignment;

    /**
     * Creates an object that answers requests.
     *
     * @param assignment Determines when callers return.
     */
    UnservedRequests(EndpointAssignment assignment) {
        this.assignment = assignment;
    }

    /**
     * Answers a request that must not be sent to an endpoint, because endpoints ended while running it.
     *
     * @param caller The caller.
     * @param progress The progress of the request.
     * @param retryAfter The delay before a retry.
     * @return The outcome, for logs.
     * @throws IOException If the caller has disconnected.
     */
    String answerQuarantined(CallerResponse caller, Progress progress, Duration retryAfter) throws IOException {
        switch (progress) {
            case STREAM_BEGUN -> caller.abort();
            case MAY_HAVE_RUN ->
                caller.answerText(
                        BAD_GATEWAY,
                        "the request may have run: endpoints ended while running it",
                        Optional.of(retryAfter));
            case NOT_RUN ->
                caller.answerText(
                        UNAVAILABLE,
                        "the request has not run: endpoints ended while running it before",
                        Optional.of(retryAfter));
        }
        return progress.outcome() + ", endpoints ended under it";
    }

    /**
     * Answers a request that no endpoint has received, because a planned stop of this node may cut it. Other nodes can
     * serve it at once.
     *
     * @param caller The caller.
     * @return The outcome, for logs.
     * @throws IOException If the caller has disconnected.
     */
    static String answerStopping(CallerResponse caller) throws IOException {
        caller.answerText(UNAVAILABLE, "the request has not run: " + STOPPING, Optional.of(Duration.ZERO));
        return Progress.NOT_RUN.outcome() + ", " + STOPPING;
    }

    /**
     * Answers a request that gets no further attempt.
     *
     * @param caller The caller.
     * @param progress The progress of the request.
     * @param claim The request and its pool.
     * @param reason The reason, for logs.
     * @param status The status if the request may have run.
     * @return The outcome, for logs.
     * @throws IOException If the caller has disconnected.
     */
    String answerUnserved(
            CallerResponse caller, Progress progress, EndpointAssignment.Claim claim, String reason, int status)
            throws IOException {
        switch (progress) {
            case STREAM_BEGUN -> caller.abort();
            case MAY_HAVE_RUN -> caller.answerText(status, "the request may have run: " + reason, Optional.empty());
            case NOT_RUN ->
                caller.answerText(
                        UNAVAILABLE, "the request has not run: " + reason, Optional.of(assignment.retryDelay(claim)));
        }
        return progress.outcome() + ", " + reason;
    }

    /** The progress of a request. */
    enum Progress {
        /** The request definitely did not run. */
        NOT_RUN("not run"),
        /** The request may have run. */
        MAY_HAVE_RUN("failed"),
        /** The caller has received events of its stream. */
        STREAM_BEGUN("stream broken off");

        /** The outcome of a request that ends with this progress, for logs. */
        private final String outcome;

        /**
         * Creates a progress.
         *
         * @param outcome The outcome of a request that ends with this progress.
         */
        Progress(String outcome) {
            this.outcome = outcome;
        }

        /**
         * Returns the outcome of a request that ends with this progress.
         *
         * @return The start of the outcome text, for logs.
         */
        String outcome() {
            return outcome;
        }
    }
}
