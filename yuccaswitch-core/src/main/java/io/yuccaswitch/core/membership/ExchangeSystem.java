package io.yuccaswitch.core.membership;

import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.peer.PeerMessage;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Opens exchanges with one partner after another, answers those of others, and settles differences between tables. Each
 * exchange is also a probe of its partner, handed to the {@link ProbeSystem}.
 */
final class ExchangeSystem implements DecisionSystem {

    /** This node introduces itself in one of so many exchanges, in case that the partner does not know it. */
    private static final int INTRODUCTION_INTERVAL = 8;

    /** The time for which a node that started or changed introduces itself in each exchange. */
    private static final Duration INTRODUCTION_TIME = Duration.ofSeconds(20);

    /** The number of partners that a node contacts at once when it was paused or departs. */
    private static final int URGENT_PARTNERS = 3;

    /** The state of the membership. */
    private final MembershipState state;

    /** Composes what travels. */
    private final ExchangeContent content;

    /** Picks partners. */
    private final PartnerRotation rotation;

    /** Watches over answers. */
    private final ProbeSystem probes;

    /** This node's own row when it was last looked at. */
    private MemberRow lastSelf;

    /** The time until which this node introduces itself in each exchange. */
    private MonotonicTime introduceUntil = new MonotonicTime(Long.MIN_VALUE);

    /** The time of the next exchange. */
    private MonotonicTime nextExchange = new MonotonicTime(Long.MIN_VALUE);

    /**
     * Creates a new system.
     *
     * @param state The state of the membership.
     * @param content Composes what travels.
     * @param rotation Picks partners.
     * @param probes Watches over answers.
     */
    ExchangeSystem(MembershipState state, ExchangeContent content, PartnerRotation rotation, ProbeSystem probes) {
        this.state = state;
        this.content = content;
        this.rotation = rotation;
        this.probes = probes;
        lastSelf = state.table().selfRow();
    }

    /** {@inheritDoc} */
    @Override
    public void run(Tick tick) {
        if (!tick.events(MembershipEvent.DegradedSelf.class).isEmpty()) {
            probes.forgetAll();
            rotation.sample(tick, URGENT_PARTNERS, Optional.empty()).forEach(partner -> open(tick, partner, true));
        }
        for (PeerEvent.Received event : tick.events(PeerEvent.Received.class)) {
            if (event.message() instanceof MembershipMessage message) {
                receive(tick, event.sender(), message);
            }
        }
        if (!tick.events(MembershipEvent.Departing.class).isEmpty()) {
            depart(tick);
        }
        boolean departed = state.table().selfRow().is(MemberCondition.DEAD);
        if (!departed && !tick.now().isBefore(nextExchange)) {
            introduceIfChanged(tick.now());
            nextExchange = tick.now().plus(jittered(tick, state.settings().exchangeInterval()));
            rotation.next(tick).ifPresent(partner -> open(tick, partner, false));
        }
    }

    /**
     * Handles a message of the membership.
     *
     * @param tick The tick.
     * @param sender The sender.
     * @param message The message.
     */
    private void receive(Tick tick, NodeIdentity sender, MembershipMessage message) {
        if (message instanceof MembershipMessage.Exchange exchange) {
            learn(tick, sender, exchange.digest(), exchange.rows());
            answer(tick, sender, exchange);
        } else if (message instanceof MembershipMessage.ExchangeAnswer answer) {
            learn(tick, sender, answer.digest(), answer.rows());
            probes.answered(tick, sender, answer.sequence());
            state.news().compared(answer.bucketHashes().isEmpty());
            content.summaries(answer.bucketHashes()).ifPresent(summaries -> send(tick, sender.name(), summaries));
        } else if (message instanceof MembershipMessage.Summaries summaries) {
            content.settle(summaries).forEach(rows -> send(tick, sender.name(), rows));
        } else if (message instanceof MembershipMessage.Rows rows) {
            rows.rows().forEach(row -> state.merge().apply(tick, row, "told by " + sender));
            content.wanted(rows.wanted()).forEach(found -> send(tick, sender.name(), found));
        } else if (message instanceof MembershipMessage.LeavingAdvice) {
            tick.raise(new MembershipEvent.LeavingAdvised());
        } else {
            probes.receive(tick, sender, message);
        }
    }

    /**
     * Learns from a message of an exchange.
     *
     * @param tick The tick.
     * @param sender The partner.
     * @param digest What the partner says of itself.
     * @param rows The rows that the partner told.
     */
    private void learn(Tick tick, NodeIdentity sender, ExchangeDigest digest, List<MemberRow> rows) {
        rows.forEach(row -> state.merge().apply(tick, row, "told by " + sender));
        digest.observation().ifPresent(observation -> state.platform().learn(tick.now(), observation));
        Optional<Duration> platformAge = digest.platformLastHeardAgo().isPresent()
                ? Optional.of(Duration.ofMillis(digest.platformLastHeardAgo().getAsLong()))
                : Optional.empty();
        state.reports()
                .put(sender.name(), new PeerReport(tick.now(), digest.generation(), digest.ready(), platformAge));
        tick.raise(new MembershipEvent.PeerReported(sender, digest.generation(), digest.ready(), platformAge));
    }

    /**
     * Answers an exchange.
     *
     * @param tick The tick.
     * @param sender The partner.
     * @param exchange The exchange.
     */
    private void answer(Tick tick, NodeIdentity sender, MembershipMessage.Exchange exchange) {
        ExchangeDigest digest = content.digest(tick.now());
        boolean equal = digest.tableHash() == exchange.digest().tableHash();
        state.news().compared(equal);
        List<Long> bucketHashes = equal ? List.of() : state.table().bucketHashes();
        send(
                tick,
                sender.name(),
                new MembershipMessage.ExchangeAnswer(
                        exchange.sequence(), digest, content.answerFor(sender, !equal), bucketHashes));
    }

    /**
     * Opens an exchange.
     *
     * @param tick The tick.
     * @param partner The partner.
     * @param introduce {@code true} if this node introduces itself in any case.
     */
    private void open(Tick tick, MemberRow partner, boolean introduce) {
        state.counters().exchange();
        long sequence = probes.begin(tick.now(), partner.name());
        boolean stranger = !partner.is(MemberCondition.ALIVE)
                || sequence % INTRODUCTION_INTERVAL == 0
                || tick.now().isBefore(introduceUntil);
        List<MemberRow> rows = content.rowsFor(partner.name(), introduce || stranger);
        send(tick, partner.name(), new MembershipMessage.Exchange(sequence, content.digest(tick.now()), rows));
    }

    /**
     * Sees to it that this node introduces itself for a while after it started or changed.
     *
     * @param now The current time.
     */
    private void introduceIfChanged(MonotonicTime now) {
        MemberRow self = state.table().selfRow();
        if (!lastSelf.equals(self) || state.counters().snapshot().exchanges() == 0) {
            lastSelf = self;
            introduceUntil = now.plus(INTRODUCTION_TIME);
        }
    }

    /**
     * Tells some members that this node is gone.
     *
     * @param tick The tick.
     */
    private void depart(Tick tick) {
        MembershipMessage.Rows farewell =
                new MembershipMessage.Rows(List.of(state.table().selfRow()), List.of());
        rotation.sample(tick, URGENT_PARTNERS, Optional.empty())
                .forEach(partner -> send(tick, partner.name(), farewell));
    }

    /**
     * Spreads a time by a tenth, such that nodes that started together don't act together.
     *
     * @param tick The tick.
     * @param time The time.
     * @return The time, between nine and eleven tenths of the given one.
     */
    private static Duration jittered(Tick tick, Duration time) {
        long tenth = Math.max(1, time.toNanos() / 10);
        return time.plusNanos(tick.random().nextLong(-tenth, tenth));
    }

    /**
     * Sends a message.
     *
     * @param tick The tick.
     * @param target The receiver.
     * @param message The message.
     */
    private static void send(Tick tick, NodeName target, PeerMessage message) {
        tick.emit(new PeerEffect.Send(target, message));
    }
}
