package io.yuccaswitch.core.membership;

import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.time.MonotonicTime;
import java.util.List;
import java.util.Optional;

/**
 * Watches over the answers to exchanges. A partner that does not answer is probed through others, and is suspected if
 * they can't reach it either.
 */
final class ProbeSystem implements DecisionSystem {

    /** The largest number of probes on behalf of others at a time. */
    private static final int RELAYED_PROBES = 64;

    /** The state of the membership. */
    private final MembershipState state;

    /** Composes what travels. */
    private final ExchangeContent content;

    /** Picks the nodes that probe on this node's behalf. */
    private final PartnerRotation rotation;

    /** The probes under way, by their sequence numbers. */
    private final EntityTable<Long, Probe> probes = new EntityTable<>();

    /** The sequence number of the latest exchange. */
    private long lastSequence;

    /**
     * Creates a new system.
     *
     * @param state The state of the membership.
     * @param content Composes what travels.
     * @param rotation Picks the nodes that probe on this node's behalf.
     */
    ProbeSystem(MembershipState state, ExchangeContent content, PartnerRotation rotation) {
        this.state = state;
        this.content = content;
        this.rotation = rotation;
    }

    /** {@inheritDoc} */
    @Override
    public void run(Tick tick) {
        for (PeerEvent.Undeliverable event : tick.events(PeerEvent.Undeliverable.class)) {
            if (event.message() instanceof MembershipMessage.Exchange exchange) {
                probes.find(exchange.sequence())
                        .filter(probe -> !probe.indirect())
                        .ifPresent(probe -> probeIndirectly(tick, probe));
            }
        }
        for (Probe probe : probes.rows()) {
            check(tick, probe);
        }
    }

    /**
     * Begins to wait for the answer to an exchange.
     *
     * @param now The current time.
     * @param target The partner.
     * @return The sequence number of the exchange.
     */
    long begin(MonotonicTime now, NodeName target) {
        return begin(now, target, Optional.empty());
    }

    /** Stops to wait for answers, since this node was paused and answers may have come and gone. */
    void forgetAll() {
        probes.removeIf(_probe -> true);
    }

    /**
     * Takes note of an answer. One to an exchange from before a pause proves nothing about the time since.
     *
     * @param tick The tick.
     * @param sender The node that answered.
     * @param sequence The number of the exchange.
     */
    void answered(Tick tick, NodeIdentity sender, long sequence) {
        state.counters().answer();
        Optional<Probe> awaited =
                probes.find(sequence).filter(probe -> probe.target().equals(sender.name()));
        if (awaited.isPresent() && state.health().isDoubtful()) {
            SelfSystem.restore(tick, state.health());
        }
        awaited.ifPresent(probe -> conclude(tick, probe));
    }

    /**
     * Handles a message about a probe through others.
     *
     * @param tick The tick.
     * @param sender The sender.
     * @param message The message.
     */
    void receive(Tick tick, NodeIdentity sender, MembershipMessage message) {
        if (message instanceof MembershipMessage.ProbeRequest request) {
            relay(tick, sender.name(), request);
        } else if (message instanceof MembershipMessage.ProbeSuccess success) {
            probes.find(success.sequence())
                    .filter(probe -> probe.target().equals(success.target()))
                    .ifPresent(probe -> conclude(tick, probe));
        }
    }

    /**
     * Begins to wait for the answer to an exchange.
     *
     * @param now The current time.
     * @param target The partner.
     * @param requester The node on whose behalf the partner is probed.
     * @return The sequence number of the exchange.
     */
    private long begin(MonotonicTime now, NodeName target, Optional<Probe.Requester> requester) {
        lastSequence++;
        probes.put(lastSequence, new Probe(lastSequence, target, now, false, requester));
        return lastSequence;
    }

    /**
     * Ends a probe that was answered.
     *
     * @param tick The tick.
     * @param probe The probe.
     */
    private void conclude(Tick tick, Probe probe) {
        probes.remove(probe.sequence());
        if (probe.requester().isPresent()) {
            Probe.Requester requester = probe.requester().get();
            send(tick, requester.name(), new MembershipMessage.ProbeSuccess(requester.sequence(), probe.target()));
            return;
        }
        state.health().success();
        state.table()
                .row(probe.target())
                .filter(row -> row.is(MemberCondition.LEAVING))
                .ifPresent(row -> state.timers().clear(row.name()));
    }

    /**
     * Probes a node on behalf of another one.
     *
     * @param tick The tick.
     * @param requester The node that asks.
     * @param request The request.
     */
    private void relay(Tick tick, NodeName requester, MembershipMessage.ProbeRequest request) {
        if (!state.table().contains(request.target()) || probes.size() >= RELAYED_PROBES) {
            return;
        }
        Probe.Requester origin = new Probe.Requester(requester, request.sequence());
        long sequence = begin(tick.now(), request.target(), Optional.of(origin));
        List<MemberRow> rows = content.rowsFor(request.target(), true);
        send(tick, request.target(), new MembershipMessage.Exchange(sequence, content.digest(tick.now()), rows));
    }

    /**
     * Looks whether a probe has waited for too long.
     *
     * @param tick The tick.
     * @param probe The probe.
     */
    private void check(Tick tick, Probe probe) {
        MembershipOptions options = state.options();
        if (tick.now().since(probe.sentAt()).compareTo(options.indirectTimeout()) >= 0) {
            probes.remove(probe.sequence());
            if (probe.requester().isEmpty()) {
                fail(tick, probe.target());
            }
        } else if (!probe.indirect() && tick.now().since(probe.sentAt()).compareTo(options.probeTimeout()) >= 0) {
            probeIndirectly(tick, probe);
        }
    }

    /**
     * Asks others to probe a node.
     *
     * @param tick The tick.
     * @param probe The probe that was not answered.
     */
    private void probeIndirectly(Tick tick, Probe probe) {
        probes.put(probe.sequence(), probe.withIndirect());
        if (probe.requester().isEmpty()) {
            rotation.sample(tick, state.options().indirectProbes(), Optional.of(probe.target()))
                    .forEach(helper -> send(
                            tick, helper.name(), new MembershipMessage.ProbeRequest(probe.sequence(), probe.target())));
        }
    }

    /**
     * Suspects a node that nobody could reach. A leaving node keeps its condition and is timed all the same.
     *
     * @param tick The tick.
     * @param target The node.
     */
    private void fail(Tick tick, NodeName target) {
        state.health().failure();
        if (state.health().isDoubtful()) {
            return;
        }
        Optional<MemberRow> row = state.table().row(target);
        if (row.filter(believed -> believed.is(MemberCondition.ALIVE)).isPresent()) {
            state.counters().suspicion();
            state.merge().apply(tick, row.get().withCondition(MemberCondition.SUSPECTED), "does not answer");
        } else if (row.filter(believed -> believed.is(MemberCondition.LEAVING)).isPresent()) {
            state.timers().suspect(target, tick.now());
        }
    }

    /**
     * Sends a message.
     *
     * @param tick The tick.
     * @param target The receiver.
     * @param message The message.
     */
    private static void send(Tick tick, NodeName target, MembershipMessage message) {
        tick.emit(new PeerEffect.Send(target, message));
    }
}
