package io.yuccaswitch.core.request;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.MemberCondition;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.peer.PeerEvent;
import java.time.Duration;
import java.util.Optional;

/**
 * Forwards requests to their home and waits for the outcome. If the home is gone or was restarted, the outcome is
 * searched for at other nodes and at endpoints; this node never sends the request to an endpoint.
 */
final class ForwardingSystem implements DecisionSystem {

    /** The code by which a node reports that it is not the incarnation that is the home of a request. */
    static final String NOT_HOME_CODE = "home-gone";

    /** The interval at which a request is forwarded again, as messages may be lost. */
    private static final Duration RESEND_INTERVAL = Duration.ofMillis(500);

    /** The tables. */
    private final RequestTables tables;

    /** Concludes requests and notifies their waiters. */
    private final Conclusions conclusions;

    /** Searches for outcomes at other nodes and at endpoints. */
    private final ResolutionSystem resolution;

    /**
     * Creates a new system.
     *
     * @param tables The tables.
     * @param conclusions Concludes requests and notifies their waiters.
     * @param resolution Searches for outcomes at other nodes and at endpoints.
     */
    ForwardingSystem(RequestTables tables, Conclusions conclusions, ResolutionSystem resolution) {
        this.tables = tables;
        this.conclusions = conclusions;
        this.resolution = resolution;
    }

    /**
     * Forwards a request to its home.
     *
     * @param tick The tick.
     * @param arrived The request's row.
     * @param home The home, which is not this incarnation of this node.
     * @param window The issue window of the id, or {@link RequestClock#NO_WINDOW}.
     */
    void forward(Tick tick, RequestRow arrived, NodeIdentity home, long window) {
        RequestRow row = arrived.withHome(home, window);
        if (isGone(home)) {
            resolution.resolve(tick, row, homeGone());
            return;
        }
        RequestRow forwarded = row.withStage(RequestStage.FORWARDED, tick.now());
        tables.requests.put(row.id(), forwarded);
        tick.decide(Decision.of("forward", row.id().value(), home.toString(), "home of the request"));
        send(tick, forwarded, home);
    }

    /** {@inheritDoc} */
    @Override
    public void run(Tick tick) {
        for (PeerEvent.Received event : tick.events(PeerEvent.Received.class)) {
            if (event.message() instanceof RequestMessage.Concluded concluded) {
                handleConclusion(tick, event.sender(), concluded);
            } else if (event.message() instanceof RequestMessage.ReplicateOutcome replication) {
                tables.retained.retain(new RetainedOutcome(
                        replication.id(),
                        replication.caller(),
                        replication.fingerprint(),
                        replication.outcome(),
                        tick.now()));
            }
        }
    }

    /**
     * Checks a forwarded request: resolves it if its home is gone, or forwards it again.
     *
     * @param tick The tick.
     * @param row The request's row.
     */
    void check(Tick tick, RequestRow row) {
        NodeIdentity home = row.home().orElseThrow();
        if (isGone(home)) {
            resolution.resolve(tick, row, homeGone());
            return;
        }
        if (tick.now().since(row.stageSince()).compareTo(RESEND_INTERVAL) >= 0) {
            RequestRow repeated = row.withStage(RequestStage.FORWARDED, tick.now());
            tables.requests.put(row.id(), repeated);
            send(tick, repeated, home);
        }
    }

    /**
     * Handles the outcome that a home reports. Outcomes from other nodes are ignored.
     *
     * @param tick The tick.
     * @param sender The node that reports the outcome.
     * @param message The message.
     */
    private void handleConclusion(Tick tick, NodeIdentity sender, RequestMessage.Concluded message) {
        Optional<RequestRow> row = tables.requests
                .find(message.id())
                .filter(found -> found.stage() == RequestStage.FORWARDED && found.arrival() == message.arrival())
                .filter(found -> found.home().orElseThrow().name().equals(sender.name()));
        if (row.isEmpty()) {
            return;
        }
        if (!row.get().home().orElseThrow().equals(sender)
                || message.outcome().code().equals(NOT_HOME_CODE)) {
            resolution.resolve(tick, row.get(), homeGone());
            return;
        }
        conclusions.conclude(tick, row.get(), message.outcome().outcome());
    }

    /**
     * Sends a request to its home.
     *
     * @param tick The tick.
     * @param row The request's row.
     * @param home The home.
     */
    private static void send(Tick tick, RequestRow row, NodeIdentity home) {
        Duration timeLeft = row.request().deadline().since(tick.now());
        tick.emit(new PeerEffect.Send(
                home.name(), new RequestMessage.Forward(row.request(), home, row.window(), row.arrival(), timeLeft)));
    }

    /**
     * Returns whether an incarnation of a node has ended, according to this node's view of the membership.
     *
     * @param home The incarnation of a node.
     * @return {@code true} if the node is not a member, is dead or was restarted.
     */
    private boolean isGone(NodeIdentity home) {
        if (home.name().equals(tables.self().name())) {
            return !home.equals(tables.self());
        }
        Optional<Member> member = tables.membership.find(home.name());
        return member.isEmpty()
                || member.get().identity().incarnation() > home.incarnation()
                || member.get().condition() == MemberCondition.DEAD;
    }

    /**
     * Creates the outcome of a request whose home is gone.
     *
     * @return The outcome.
     */
    private static Outcome homeGone() {
        return new Outcome.Unknown(NOT_HOME_CODE, "The only node that may send the request is gone.");
    }
}
