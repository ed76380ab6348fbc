package io.yuccaswitch.core.request;

import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.peer.PeerEvent;
import java.time.Duration;
import java.util.Optional;

/**
 * Takes in requests from callers, from other systems and from nodes that pass them on. A request that is sent again
 * joins the one in progress or gets the outcome that is kept; a new one goes the way to its home.
 */
final class ArrivalSystem implements DecisionSystem {

    /** The time after which a node that is starting may be asked again. */
    private static final Duration STARTING_RETRY_AFTER = Duration.ofSeconds(1);

    /** The tables. */
    private final RequestTables tables;

    /** What brings requests to their outcome. */
    private final Conclusions conclusions;

    /** What takes idempotent requests into the queue. */
    private final Admission admission;

    /** What admits non-idempotent requests at their home. */
    private final HomeAdmission homeAdmission;

    /** What claims requests whose ids their callers made. */
    private final ClaimSystem claims;

    /** What passes requests on to their home. */
    private final ForwardingSystem forwarding;

    /** What searches outcomes elsewhere. */
    private final ResolutionSystem resolution;

    /**
     * Creates a new system.
     *
     * @param tables The tables.
     * @param conclusions What brings requests to their outcome.
     * @param admission What takes idempotent requests into the queue.
     * @param homeAdmission What admits non-idempotent requests at their home.
     * @param claims What claims requests whose ids their callers made.
     * @param forwarding What passes requests on to their home.
     * @param resolution What searches outcomes elsewhere.
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
                arrived(
                        tick,
                        RequestRow.arrived(
                                arrived.request(),
                                Waiters.LOCAL,
                                tick.now(),
                                tick.random().nextLong()),
                        Optional.empty());
            } else if (event instanceof RequestEvent.Cancelled cancelled) {
                cancelled(tick, cancelled.id());
            }
        }
        for (PeerEvent.Received event : tick.events(PeerEvent.Received.class)) {
            if (event.message() instanceof RequestMessage.Forward forward) {
                forwarded(tick, event.sender(), forward);
            }
        }
    }

    /**
     * Takes in a request that another node passes on.
     *
     * @param tick The tick.
     * @param sender The node.
     * @param message The message.
     */
    private void forwarded(Tick tick, NodeIdentity sender, RequestMessage.Forward message) {
        Waiters waiters = Waiters.of(sender.name(), message.arrival());
        Request request = message.request().withDeadline(tick.now().plus(message.timeLeft()));
        if (!message.home().equals(tables.self()) || request.idempotent()) {
            conclusions.tell(
                    tick,
                    request.id(),
                    waiters,
                    new Outcome.Unknown(ForwardingSystem.NOT_HOME_CODE, "This is not the home of the request."));
            return;
        }
        Optional<RecordedOutcome> refusal = tables.refused.find(message.arrival());
        if (refusal.isPresent()) {
            conclusions.tell(tick, request.id(), waiters, refusal.get().outcome());
            return;
        }
        arrived(
                tick,
                RequestRow.arrived(request, waiters, tick.now(), message.arrival()),
                Optional.of(message.window()));
    }

    /**
     * Takes in a request.
     *
     * @param tick The tick.
     * @param row The request's row, which is not in the table yet.
     * @param claimedWindow The window of the claim that makes this node the home, as the node that passed on the
     *     request read it, or empty if no node passed it on.
     */
    private void arrived(Tick tick, RequestRow row, Optional<Long> claimedWindow) {
        Optional<RequestRow> running = tables.requests.find(row.id());
        if (running.isPresent()) {
            join(tick, running.get(), row);
            return;
        }
        Optional<KeptAnswer> kept = tables.kept.find(row.id());
        if (kept.isPresent() && !row.request().idempotent()) {
            repeat(tick, kept.get(), row);
            return;
        }
        if (tables.configuration.isEmpty()) {
            notReady(tick, row);
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
     * Turns a request away before there is a configuration. Only a node that alone could have sent the request knows
     * that it did not run.
     *
     * @param tick The tick.
     * @param row The request's row.
     */
    private void notReady(Tick tick, RequestRow row) {
        boolean surelyNotRun = row.request().idempotent() || row.id().home().equals(Optional.of(tables.self()));
        if (surelyNotRun) {
            refuse(tick, row, "not-ready", "The node has no configuration yet.", Optional.of(STARTING_RETRY_AFTER));
            return;
        }
        Outcome unknown = new Outcome.Unknown("not-ready", "The node has no configuration yet; nothing was sent now.");
        conclusions.tell(tick, row.id(), row.waiters(), unknown);
    }

    /**
     * Joins a request that is sent again to the one in progress.
     *
     * @param tick The tick.
     * @param running The row of the request in progress.
     * @param again The row of the request that is sent again.
     */
    private void join(Tick tick, RequestRow running, RequestRow again) {
        if (running.fingerprint() != again.fingerprint()) {
            refuseReuse(tick, again);
            return;
        }
        RequestRow joined = running.withWaiters(running.waiters().and(again.waiters()));
        boolean later = running.request().deadline().isBefore(again.request().deadline());
        tables.requests.put(
                running.id(), later ? joined.withDeadline(again.request().deadline()) : joined);
    }

    /**
     * Answers a request that is sent again with the outcome that is kept. An outcome that is no answer is settled anew.
     *
     * @param tick The tick.
     * @param kept The outcome that is kept.
     * @param again The row of the request that is sent again.
     */
    private void repeat(Tick tick, KeptAnswer kept, RequestRow again) {
        if (kept.fingerprint() != again.fingerprint()) {
            refuseReuse(tick, again);
            return;
        }
        Outcome outcome = kept.outcome().outcome();
        boolean settled = outcome instanceof Outcome.Answered || outcome instanceof Outcome.NotRun;
        if (settled || tables.configuration.isEmpty()) {
            conclusions.tell(tick, again.id(), again.waiters(), outcome);
            return;
        }
        resolution.resolve(tick, again, outcome);
    }

    /**
     * Refuses a request that bears the id of another one.
     *
     * @param tick The tick.
     * @param row The row of the request.
     */
    private void refuseReuse(Tick tick, RequestRow row) {
        refuse(tick, row, "request-id-reused", "The id was used for another request.", Optional.empty());
    }

    /**
     * Refuses a request that has no row in the table.
     *
     * @param tick The tick.
     * @param row The row of the request.
     * @param code The code of the refusal.
     * @param message The explanation for the caller.
     * @param retryAfter The time after which it is worth to ask again, or empty.
     */
    private void refuse(Tick tick, RequestRow row, String code, String message, Optional<Duration> retryAfter) {
        conclusions.tell(tick, row.id(), row.waiters(), new Outcome.NotRun(code, message, retryAfter));
    }

    /**
     * Gives up on a request that nobody waits for any more. A non-idempotent request that was sent goes on, such that
     * its answer can be kept for the request when it is sent again.
     *
     * @param tick The tick.
     * @param id The identifier of the request.
     */
    private void cancelled(Tick tick, RequestId id) {
        Optional<RequestRow> found = tables.requests.find(id);
        if (found.isEmpty()) {
            return;
        }
        RequestRow row = found.get().withWaiters(found.get().waiters().withoutLocal());
        boolean goesOn = row.stage() == RequestStage.SENT && !row.request().idempotent();
        if (!row.waiters().isEmpty() || goesOn) {
            tables.requests.put(id, row);
            return;
        }
        Outcome outcome = row.history().maybeRan() || row.stage() != RequestStage.QUEUED
                ? new Outcome.FailedAfterSend("cancelled", "The caller went away.")
                : new Outcome.NotRun("cancelled", "The caller went away.", Optional.empty());
        conclusions.conclude(tick, row, outcome);
    }
}
