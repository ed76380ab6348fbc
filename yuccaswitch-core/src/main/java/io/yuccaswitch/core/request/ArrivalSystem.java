package io.yuccaswitch.core.request;

import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.peer.PeerEvent;
import java.time.Duration;
import java.util.Optional;

/**
 * Accepts requests from callers, from other systems and from nodes that forward them. A repeated request joins the one
 * in progress or receives the retained outcome; a new request is routed to its home.
 */
final class ArrivalSystem implements DecisionSystem {

    /** The delay after which a caller may retry at a node that is starting. */
    private static final Duration STARTING_RETRY_AFTER = Duration.ofSeconds(1);

    /** The tables. */
    private final RequestTables tables;

    /** Concludes requests and notifies their waiters. */
    private final Conclusions conclusions;

    /** Queues idempotent requests or refuses them. */
    private final Admission admission;

    /** Admits non-idempotent requests at their home. */
    private final HomeAdmission homeAdmission;

    /** Claims requests whose ids were chosen by their callers. */
    private final ClaimSystem claims;

    /** Forwards requests to their home. */
    private final ForwardingSystem forwarding;

    /** Searches for outcomes at other nodes and at endpoints. */
    private final ResolutionSystem resolution;

    /**
     * Creates a new system.
     *
     * @param tables The tables.
     * @param conclusions Concludes requests and notifies their waiters.
     * @param admission Queues idempotent requests or refuses them.
     * @param homeAdmission Admits non-idempotent requests at their home.
     * @param claims Claims requests whose ids were chosen by their callers.
     * @param forwarding Forwards requests to their home.
     * @param resolution Searches for outcomes at other nodes and at endpoints.
     */
    ArrivalSystem(
            RequestTables tables,
            Conclusions conclusions,
            Admission admission,
            HomeAdmission homeAdmission,
            ClaimSystem claims,
            ForwardingSystem forwarding,
            ResolutionSystem resolution) {
        this.tables = tables;
        this.conclusions = conclusions;
        this.admission = admission;
        this.homeAdmission = homeAdmission;
        this.claims = claims;
        this.forwarding = forwarding;
        this.resolution = resolution;
    }

    /** {@inheritDoc} */
    @Override
    public void run(Tick tick) {
        for (RequestEvent event : tick.events(RequestEvent.class)) {
            if (event instanceof RequestEvent.Arrived arrived) {
                handleArrival(
                        tick,
                        RequestRow.arrived(
                                arrived.request(),
                                Waiters.LOCAL,
                                tick.now(),
                                tick.random().nextLong()),
                        Optional.empty());
            } else if (event instanceof RequestEvent.Cancelled cancelled) {
                handleCancellation(tick, cancelled.id());
            }
        }
        for (PeerEvent.Received event : tick.events(PeerEvent.Received.class)) {
            if (event.message() instanceof RequestMessage.Forward forward) {
                handleForward(tick, event.sender(), forward);
            }
        }
    }

    /**
     * Handles a request that another node forwards.
     *
     * @param tick The tick.
     * @param sender The node.
     * @param message The message.
     */
    private void handleForward(Tick tick, NodeIdentity sender, RequestMessage.Forward message) {
        Waiters waiters = Waiters.of(sender.name(), message.arrival());
        Request request = message.request().withDeadline(tick.now().plus(message.timeLeft()));
        if (!message.home().equals(tables.self()) || request.idempotent()) {
            conclusions.notifyWaiters(
                    tick,
                    request.id(),
                    waiters,
                    new Outcome.Unknown(ForwardingSystem.NOT_HOME_CODE, "This node is not the home of the request."));
            return;
        }
        Optional<RecordedOutcome> refusal = tables.refused.find(message.arrival());
        if (refusal.isPresent()) {
            conclusions.notifyWaiters(tick, request.id(), waiters, refusal.get().outcome());
            return;
        }
        handleArrival(
                tick,
                RequestRow.arrived(request, waiters, tick.now(), message.arrival()),
                Optional.of(message.window()));
    }

    /**
     * Handles an arriving request.
     *
     * @param tick The tick.
     * @param row The request's row, which is not in the table yet.
     * @param claimedWindow The window of the claim that makes this node the home, as read by the node that forwarded
     *     the request, or empty if the request was not forwarded.
     */
    private void handleArrival(Tick tick, RequestRow row, Optional<Long> claimedWindow) {
        Optional<RequestRow> running = tables.requests.find(row.id());
        if (running.isPresent()) {
            join(tick, running.get(), row);
            return;
        }
        Optional<RetainedOutcome> retained = tables.retained.find(row.id());
        if (retained.isPresent() && !row.request().idempotent()) {
            repeat(tick, retained.get(), row);
            return;
        }
        if (tables.configuration.isEmpty()) {
            rejectUnconfigured(tick, row);
            return;
        }
        if (row.request().idempotent()) {
            admission.admit(tick, row);
            return;
        }
        Optional<NodeIdentity> home = row.id().home();
        if (home.isEmpty() && claimedWindow.isEmpty()) {
            claims.claim(tick, row);
        } else if (home.isEmpty() || home.get().equals(tables.self())) {
            long window = home.isEmpty() ? claimedWindow.orElseThrow() : RequestClock.windowOf(row.id());
            homeAdmission.admit(tick, row, window);
        } else {
            forwarding.forward(tick, row, home.get(), RequestClock.windowOf(row.id()));
        }
    }

    /**
     * Rejects a request that arrives before the first configuration. It is reported as not run only if no other node
     * could have sent it; otherwise its outcome is unknown.
     *
     * @param tick The tick.
     * @param row The request's row.
     */
    private void rejectUnconfigured(Tick tick, RequestRow row) {
        boolean definitelyNotRun = row.request().idempotent() || row.id().home().equals(Optional.of(tables.self()));
        if (definitelyNotRun) {
            refuse(tick, row, "not-ready", "The node has no configuration yet.", Optional.of(STARTING_RETRY_AFTER));
            return;
        }
        Outcome unknown =
                new Outcome.Unknown("not-ready", "The node has no configuration yet; nothing was sent for this call.");
        conclusions.notifyWaiters(tick, row.id(), row.waiters(), unknown);
    }

    /**
     * Joins a repeated request to the one in progress.
     *
     * @param tick The tick.
     * @param running The row of the request in progress.
     * @param repeated The row of the repeated request.
     */
    private void join(Tick tick, RequestRow running, RequestRow repeated) {
        if (running.fingerprint() != repeated.fingerprint()) {
            refuseReuse(tick, repeated);
            return;
        }
        RequestRow joined = running.withWaiters(running.waiters().and(repeated.waiters()));
        boolean later = running.request().deadline().isBefore(repeated.request().deadline());
        tables.requests.put(
                running.id(), later ? joined.withDeadline(repeated.request().deadline()) : joined);
    }

    /**
     * Answers a repeated request with the retained outcome. An outcome that is neither an answer nor a refusal is
     * resolved again.
     *
     * @param tick The tick.
     * @param retained The retained outcome.
     * @param repeated The row of the repeated request.
     */
    private void repeat(Tick tick, RetainedOutcome retained, RequestRow repeated) {
        if (retained.fingerprint() != repeated.fingerprint()) {
            refuseReuse(tick, repeated);
            return;
        }
        Outcome outcome = retained.outcome().outcome();
        boolean settled = outcome instanceof Outcome.Answered || outcome instanceof Outcome.NotRun;
        if (settled || tables.configuration.isEmpty()) {
            conclusions.notifyWaiters(tick, repeated.id(), repeated.waiters(), outcome);
            return;
        }
        resolution.resolve(tick, repeated, outcome);
    }

    /**
     * Refuses a request that reuses the id of a different request.
     *
     * @param tick The tick.
     * @param row The row of the request.
     */
    private void refuseReuse(Tick tick, RequestRow row) {
        refuse(tick, row, "request-id-reused", "The id was already used for a different request.", Optional.empty());
    }

    /**
     * Refuses a request that has no row in the table.
     *
     * @param tick The tick.
     * @param row The row of the request.
     * @param code The code of the refusal.
     * @param message The explanation for the caller.
     * @param retryAfter The delay after which the caller may retry, or empty if a retry is not suggested.
     */
    private void refuse(Tick tick, RequestRow row, String code, String message, Optional<Duration> retryAfter) {
        conclusions.notifyWaiters(tick, row.id(), row.waiters(), new Outcome.NotRun(code, message, retryAfter));
    }

    /**
     * Concludes a request that has no waiters left. A non-idempotent request that was sent continues, so that its
     * answer can be retained in case the request is repeated.
     *
     * @param tick The tick.
     * @param id The identifier of the request.
     */
    private void handleCancellation(Tick tick, RequestId id) {
        Optional<RequestRow> found = tables.requests.find(id);
        if (found.isEmpty()) {
            return;
        }
        RequestRow row = found.get().withWaiters(found.get().waiters().withoutLocal());
        boolean continues = row.stage() == RequestStage.SENT && !row.request().idempotent();
        if (!row.waiters().isEmpty() || continues) {
            tables.requests.put(id, row);
            return;
        }
        Outcome outcome = row.history().maybeRan() || row.stage() != RequestStage.QUEUED
                ? new Outcome.FailedAfterSend("cancelled", "The caller no longer waits for the answer.")
                : new Outcome.NotRun("cancelled", "The caller no longer waits for the answer.", Optional.empty());
        conclusions.conclude(tick, row, outcome);
    }
}
