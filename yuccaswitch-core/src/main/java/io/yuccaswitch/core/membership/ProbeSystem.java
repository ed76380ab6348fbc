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
 * Tracks the answers to exchanges. A partner that does not answer is probed through other nodes, and is suspected if
 * they do not reach it either.
 */
final class ProbeSystem implements DecisionSystem {

    /** The number of pending probes, own ones included, at which probe requests of other nodes are ignored. */
    private static final int PENDING_PROBES_LIMIT = 64;

    /** The state of the membership. */
    private final MembershipState state;

    /** Composes the contents of messages. */
    private final ExchangeContent content;

    /** Selects the nodes that probe on this node's behalf. */
    private final PartnerRotation rotation;

    /** The pending probes by their sequence numbers. */
    private final EntityTable<Long, Probe> probes = new EntityTable<>();

    /** The sequence number of the latest exchange. */
    private long lastSequence;

    /**
     * Creates a new system.
     *
     * @param state The state of the membership.
     * @param content Composes the contents of messages.
     * @param rotation Selects the nodes that probe on this node's behalf.
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
            checkTimeouts(tick, probe);
        }
    }

    /**
     * Registers an exchange whose answer is awaited.
     *
     * @param now The current time.
     * @param target The partner.
     * @return The sequence number of the exchange.
     */
    long begin(MonotonicTime now, NodeName target) {
        return begin(now, target, Optional.empty());
    }

    /** Discards all pending probes, since this node was paused and may have missed answers. */
    void discardAll() {
        probes.removeIf(_probe -> true);
    }

    /**
     * Records an answer. An answer to an exchange from before a pause says nothing about the time after it, and
     * therefore does not end the recovery from the pause.
     *
     * @param tick The tick.
     * @param sender The node that answered.
     * @param sequence The number of the exchange.
     */
    void recordAnswer(Tick tick, NodeIdentity sender, long sequence) {
        state.counters().answer();
        Optional<Probe> awaited =
                probes.find(sequence).filter(probe -> probe.target().equals(sender.name()));
        if (awaited.isPresent() && state.health().isUncertain()) {
            SelfSystem.restore(tick, state.health());
        }
        awaited.ifPresent(probe -> complete(tick, probe));
    }

    /**
     * Handles a message about an indirect probe.
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
                    .ifPresent(probe -> complete(tick, probe));
        }
    }

    /**
     * Registers an exchange whose answer is awaited.
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
     * Completes a probe that was answered.
     *
     * @param tick The tick.
     * @param probe The probe.
     */
    private void complete(Tick tick, Probe probe) {
        probes.remove(probe.sequence());
        if (probe.requester().isPresent()) {
            Probe.Requester requester = probe.requester().get();
            send(tick, requester.name(), new MembershipMessage.ProbeSuccess(requester.sequence(), probe.target()));
            return;
        }
        state.health().recordSuccess();
        state.table()
                .row(probe.target())
                .filter(row -> row.is(MemberCondition.LEAVING))
                .ifPresent(row -> state.timers().clear(row.name()));
    }

    /**
     * Probes a node on behalf of another node.
     *
     * @param tick The tick.
     * @param requester The requesting node.
     * @param request The request.
     */
    private void relay(Tick tick, NodeName requester, MembershipMessage.ProbeRequest request) {
        if (!state.table().contains(request.target()) || probes.size() >= PENDING_PROBES_LIMIT) {
            return;
        }
        Probe.Requester origin = new Probe.Requester(requester, request.sequence());
        long sequence = begin(tick.now(), request.target(), Optional.of(origin));
        List<MemberRow> rows = content.rowsFor(request.target(), true);
        send(tick, request.target(), new MembershipMessage.Exchange(sequence, content.digest(tick.now()), rows));
    }

    /**
     * Checks a probe for its time-outs.
     *
     * @param tick The tick.
     * @param probe The probe.
     */
    private void checkTimeouts(Tick tick, Probe probe) {
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
     * Requests that other nodes probe a node.
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
     * Suspects a node that neither this node nor others reached. A leaving node keeps its condition, but its suspicion
     * timer starts as well.
     *
     * @param tick The tick.
     * @param target The node.
     */
    private void fail(Tick tick, NodeName target) {
        state.health().recordFailure();
        if (state.health().isUncertain()) {
            return;
        }
        Optional<MemberRow> row = state.table().row(target);
        if (row.filter(current -> current.is(MemberCondition.ALIVE)).isPresent()) {
            state.counters().suspicion();
            state.merge()
                    .apply(tick, row.get().withCondition(MemberCondition.SUSPECTED), "no direct or indirect answer");
        } else if (row.filter(current -> current.is(MemberCondition.LEAVING)).isPresent()) {
            state.timers().startSuspicionTimer(target, tick.now());
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
