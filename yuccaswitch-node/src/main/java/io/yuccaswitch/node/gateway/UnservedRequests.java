package io.yuccaswitch.node.gateway;

import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.proxy.EndpointSelection;
import io.yuccaswitch.core.proxy.ReturnTime;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import io.yuccaswitch.node.decision.DecisionLoop;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

/** Answers plain requests that no endpoint has answered, truthfully as to whether they may have run. */
final class UnservedRequests {

    /** The status that tells that nothing ran, and when to come back. */
    private static final int UNAVAILABLE = 503;

    /** The status of an answer that was not usable, after the request may have run. */
    static final int BAD_GATEWAY = 502;

    /** The status of a request whose time ran out after it may have run. */
    static final int GATEWAY_TIMEOUT = 504;

    /** What the core knows. */
    private final GatewayView view;

    /** Chooses endpoints. It is guarded by itself. */
    private final EndpointSelection selection;

    /**
     * Creates answers.
     *
     * @param view What the core knows.
     * @param selection Chooses endpoints.
     */
    UnservedRequests(GatewayView view, EndpointSelection selection) {
        this.view = view;
        this.selection = selection;
    }

    /**
     * Answers a request that may go to no endpoint, as endpoints ended under it.
     *
     * @param caller The caller.
     * @param progress How far the request has come.
     * @param comeBack When it may come back.
     * @return The outcome, for logs.
     * @throws IOException If the caller has gone.
     */
    String refuse(CallerResponse caller, Progress progress, Duration comeBack) throws IOException {
        switch (progress) {
            case STREAM_BEGUN -> caller.abort();
            case MAY_HAVE_RUN ->
                caller.answerText(BAD_GATEWAY, "the request has ended endpoints that ran it", Optional.of(comeBack));
            case NOT_RUN ->
                caller.answerText(
                        UNAVAILABLE,
                        "the request has not run: it has ended endpoints that ran it before",
                        Optional.of(comeBack));
        }
        return progress.outcome() + ", endpoints ended under it";
    }

    /**
     * Answers a request for which no attempt is left.
     *
     * @param caller The caller.
     * @param progress How far the request has come.
     * @param pool The pool that serves the request.
     * @param reason Why, for logs.
     * @param status The status if the request may have run.
     * @return The outcome, for logs.
     * @throws IOException If the caller has gone.
     */
    String giveUp(CallerResponse caller, Progress progress, Optional<PoolName> pool, String reason, int status)
            throws IOException {
        switch (progress) {
            case STREAM_BEGUN -> caller.abort();
            case MAY_HAVE_RUN -> caller.answerText(status, "the request may have run: " + reason, Optional.empty());
            case NOT_RUN ->
                caller.answerText(UNAVAILABLE, "the request has not run: " + reason, Optional.of(returnTime(pool)));
        }
        return progress.outcome() + ", " + reason;
    }

    /**
     * Returns when a caller should come back.
     *
     * @param pool The pool that serves the request.
     * @return The time, spread such that callers do not return together.
     */
    private Duration returnTime(Optional<PoolName> pool) {
        List<RegisteredEndpoint> working = pool.map(view::endpoints).orElseGet(List::of);
        synchronized (selection) {
            Duration untilFree = selection.untilFree(working, DecisionLoop.now());
            return ReturnTime.of(untilFree, ThreadLocalRandom.current().nextDouble());
        }
    }

    /** How far a request has come. */
    enum Progress {
        /** It has surely not run. */
        NOT_RUN("not run"),
        /** It may have run. */
        MAY_HAVE_RUN("failed"),
        /** The caller has got events of its stream. */
        STREAM_BEGUN("stream broken off");

        /** What became of a request that ends so, for logs. */
        private final String outcome;

        /**
         * Creates a progress.
         *
         * @param outcome What became of a request that ends so.
         */
        Progress(String outcome) {
            this.outcome = outcome;
        }

        /**
         * Returns what became of a request that ends so.
         *
         * @return The beginning of its outcome, for logs.
         */
        String outcome() {
            return outcome;
        }
    }
}
