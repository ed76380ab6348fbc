package io.yuccaswitch.node.gateway;

import io.yuccaswitch.core.proxy.EndpointSelection;
import io.yuccaswitch.core.proxy.RetryDelay;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import io.yuccaswitch.core.time.MonotonicTime;
import io.yuccaswitch.node.decision.DecisionLoop;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

/** Assigns an endpoint to each attempt at once, regardless of its free slots. */
final class ImmediateAssignment implements EndpointAssignment {

    /** The view of the core. */
    private final GatewayView view;

    /** Chooses endpoints. Guarded by its own monitor. */
    private final EndpointSelection selection;

    /**
     * Creates an assignment.
     *
     * @param view The view of the core.
     * @param selection Chooses endpoints.
     */
    ImmediateAssignment(GatewayView view, EndpointSelection selection) {
        this.view = view;
        this.selection = selection;
    }

    @Override
    public Assigned assign(Claim claim) {
        List<RegisteredEndpoint> working = claim.pool().map(view::endpoints).orElseGet(List::of);
        synchronized (selection) {
            Optional<RegisteredEndpoint> chosen = selection.choose(working, claim.avoided(), DecisionLoop.now());
            chosen.ifPresent(selection::begin);
            return chosen.<Assigned>map(Assigned.To::new).orElseGet(() -> new Assigned.None("no endpoint"));
        }
    }

    @Override
    public void end(Claim _claim, RegisteredEndpoint endpoint, Optional<Ended> ended) {
        MonotonicTime now = DecisionLoop.now();
        synchronized (selection) {
            selection.end(endpoint);
            ended.ifPresent(attempt -> {
                record(selection, endpoint, attempt, attempt.duration(), now);
                attempt.load().ifPresent(load -> selection.recordLoad(endpoint, load.requests(), now));
            });
        }
    }

    @Override
    public Duration retryDelay(Claim claim) {
        List<RegisteredEndpoint> working = claim.pool().map(view::endpoints).orElseGet(List::of);
        synchronized (selection) {
            Duration untilFree = selection.timeUntilSlotIsFree(working, DecisionLoop.now());
            return RetryDelay.of(untilFree, ThreadLocalRandom.current().nextDouble());
        }
    }

    /**
     * Updates the endpoint selection with the result of an attempt.
     *
     * @param selection The selection, whose monitor the caller holds.
     * @param endpoint The endpoint.
     * @param ended How the attempt ended.
     * @param answerTime The time of the answer, if the endpoint answered.
     * @param now The current time.
     */
    static void record(
            EndpointSelection selection,
            RegisteredEndpoint endpoint,
            Ended ended,
            Duration answerTime,
            MonotonicTime now) {
        if (ended.isAnswered()) {
            selection.recordSuccess(endpoint, answerTime, now);
        } else if (ended.duration().compareTo(ended.headTimeout()) >= 0) {
            selection.recordTimeout(endpoint, ended.duration(), now);
        } else if (!ended.callerGone() && !ended.isNotRun(AttemptResult.NotRunCause.WITHHELD)) {
            selection.recordFailure(endpoint, now);
        }
    }
}
