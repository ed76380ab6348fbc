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
 * Opens exchanges with one partner after another, answers exchanges of other nodes, and reconciles differences between
 * tables. Each exchange is also a probe of its partner, which the {@link ProbeSystem} tracks.
 */
final class ExchangeSystem implements DecisionSystem {

    /** The number of exchanges of which one includes this node's own row, in case that the partner does not have it. */
    private static final int EXCHANGES_PER_INTRODUCTION = 8;

    /** The time after a start or a change during which a node introduces itself in each exchange. */
    private static final Duration INTRODUCTION_DURATION = Duration.ofSeconds(20);

    /** The number of partners that a node contacts at the same time after a pause or when it departs. */
    private static final int URGENT_PARTNERS = 3;

    /** The state of the membership. */
    private final MembershipState state;

    /** Composes the contents of messages. */
    private final ExchangeContent content;

    /** Selects partners. */
    private final PartnerRotation rotation;

    /** Tracks pending answers. */
    private final ProbeSystem probes;

    /** This node's own row at the previous exchange. */
    private MemberRow lastSelfRow;

    /** The time until which this node introduces itself in each exchange. */
    private MonotonicTime introduceUntil = new MonotonicTime(Long.MIN_VALUE);

    /** The time of the next exchange. */
    private MonotonicTime nextExchange = new MonotonicTime(Long.MIN_VALUE);

    /**
     * Creates a new system.
     *
     * @param state The state of the membership.
     * @param content Composes the contents of messages.
     * @param rotation Selects partners.
     * @param probes Tracks pending answers.
     */
    ExchangeSystem(MembershipState state, ExchangeContent content, PartnerRotation rotation, ProbeSystem probes) {
        this.state = state;
        this.content = content;
        this.rotation = rotation;
        this.probes = probes;
        lastSelfRow = state.table().selfRow();
    }

    /** {@inheritDoc} */
    @Override
    public void run(Tick tick) {
        if (!tick.events(MembershipEvent.PauseDetected.class).isEmpty()) {
            probes.discardAll();
            rotation.sample(tick, URGENT_PARTNERS, Optional.empty()).forEach(partner -> open(tick, partner, true));
        }
        for (PeerEvent.Received event : tick.events(PeerEvent.Received.class)) {
            if (event.message() instanceof MembershipMessage message) {
                receive(tick, event.sender(), message);
            }
        }
        if (!tick.events(MembershipEvent.Departing.class).isEmpty()) {
            announceDeparture(tick);
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
            apply(tick, sender, exchange.digest(), exchange.rows());
            answer(tick, sender, exchange);
        } else if (message instanceof MembershipMessage.ExchangeAnswer answer) {
            apply(tick, sender, answer.digest(), answer.rows());
            probes.recordAnswer(tick, sender, answer.sequence());
            state.changeQueue().recordComparison(answer.bucketHashes().isEmpty());
            content.summaries(answer.bucketHashes()).ifPresent(summaries -> send(tick, sender.name(), summaries));
        } else if (message instanceof MembershipMessage.Summaries summaries) {
            content.reconcile(summaries).forEach(rows -> send(tick, sender.name(), rows));
        } else if (message instanceof MembershipMessage.Rows rows) {
            rows.rows().forEach(row -> state.merge().apply(tick, row, "reported by " + sender));
            content.requestedRows(rows.wanted()).forEach(found -> send(tick, sender.name(), found));
        } else if (message instanceof MembershipMessage.LeavingNotification) {
            tick.raise(new MembershipEvent.LeavingNotified());
        } else {
            probes.receive(tick, sender, message);
        }
    }

    /**
     * Applies the contents of an exchange or its answer.
     *
     * @param tick The tick.
     * @param sender The partner.
     * @param digest The partner's digest of its own state.
     * @param rows The rows that the partner sent.
     */
    private void apply(Tick tick, NodeIdentity sender, ExchangeDigest digest, List<MemberRow> rows) {
        rows.forEach(row -> state.merge().apply(tick, row, "reported by " + sender));
        digest.observation().ifPresent(observation -> state.platform().apply(tick.now(), observation));
        Optional<Duration> platformAge = digest.timeSincePlatformAnswer().isPresent()
                ? Optional.of(Duration.ofMillis(digest.timeSincePlatformAnswer().getAsLong()))
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
        state.changeQueue().recordComparison(equal);
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
     * @param introduce {@code true} if this node always introduces itself.
     */
    private void open(Tick tick, MemberRow partner, boolean introduce) {
        state.counters().exchange();
        long sequence = probes.begin(tick.now(), partner.name());
        boolean introductionDue = !partner.is(MemberCondition.ALIVE)
                || sequence % EXCHANGES_PER_INTRODUCTION == 0
                || tick.now().isBefore(introduceUntil);
        List<MemberRow> rows = content.rowsFor(partner.name(), introduce || introductionDue);
        send(tick, partner.name(), new MembershipMessage.Exchange(sequence, content.digest(tick.now()), rows));
    }

    /**
     * Extends the introduction period if this node has just started or its row has changed.
     *
     * @param now The current time.
     */
    private void introduceIfChanged(MonotonicTime now) {
        MemberRow self = state.table().selfRow();
        if (!lastSelfRow.equals(self) || state.counters().snapshot().exchanges() == 0) {
            lastSelfRow = self;
            introduceUntil = now.plus(INTRODUCTION_DURATION);
        }
    }

    /**
     * Announces to some members that this node exits.
     *
     * @param tick The tick.
     */
    private void announceDeparture(Tick tick) {
        MembershipMessage.Rows departure =
                new MembershipMessage.Rows(List.of(state.table().selfRow()), List.of());
        rotation.sample(tick, URGENT_PARTNERS, Optional.empty())
                .forEach(partner -> send(tick, partner.name(), departure));
    }

    /**
     * Adds a random jitter of up to a tenth to a duration, so that nodes that started together do not act at the same
     * time.
     *
     * @param tick The tick.
     * @param duration The duration.
     * @return The duration, between nine and eleven tenths of the given one.
     */
    private static Duration jittered(Tick tick, Duration duration) {
        long tenth = Math.max(1, duration.toNanos() / 10);
        return duration.plusNanos(tick.random().nextLong(-tenth, tenth));
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
