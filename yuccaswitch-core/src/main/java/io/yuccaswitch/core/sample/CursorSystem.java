package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.identity.TrainerName;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.MemberCondition;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.PlatformPurpose;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Tracks which groups trainers have received: joins the cursors that they present, replicates them to the other keeper
 * and the holders of the groups, and determines what a trainer without a cursor received before.
 */
final class CursorSystem implements SampleMessageHandler {

    /** The interval at which unconfirmed cursors are sent again. */
    private static final Duration SWEEP_INTERVAL = Duration.ofMillis(200);

    /**
     * The time after which the answers of the platform and the keepers suffice for an inquiry. A confirmation by the
     * platform that is not answered within this time is skipped.
     */
    private static final Duration MEMBER_TIMEOUT = Duration.ofSeconds(1);

    /**
     * The delay before the platform is read while a node is dead. Within this time an unreachable keeper writes the
     * groups that the trainer received from it to the platform.
     */
    private static final Duration PLATFORM_READ_DELAY = Duration.ofMillis(2500);

    /** The time after which an inquiry fails. */
    private static final Duration INQUIRY_TIMEOUT = Duration.ofSeconds(4);

    /** The shared tables. */
    private final SampleContext context;

    /** The requests in progress. */
    private final SampleRequestTable sampleRequests;

    /** Stores cursors on the platform. */
    private final CursorStore store;

    /** The latest inquiry of each trainer. */
    private final EntityTable<TrainerName, Inquiry> inquiries = new EntityTable<>();

    /** The latest confirmation of each trainer's presented cursor by the platform. */
    private final EntityTable<TrainerName, Confirmation> confirmations = new EntityTable<>();

    /**
     * The names of the nodes that took work during this incarnation of this node, without those that left or were
     * forgotten.
     */
    private final Set<NodeName> observedNodes = new HashSet<>();

    /** The schedule at which unconfirmed cursors are sent again. */
    private final Interval sweep = new Interval(SWEEP_INTERVAL);

    /**
     * Creates a new system.
     *
     * @param context The shared tables.
     * @param sampleRequests The requests in progress.
     */
    CursorSystem(SampleContext context, SampleRequestTable sampleRequests) {
        this.context = context;
        this.sampleRequests = sampleRequests;
        store = new CursorStore(context);
    }

    /** {@inheritDoc} */
    @Override
    public void receive(Tick tick, NodeIdentity sender, SampleMessage message) {
        if (message instanceof SampleMessage.Acknowledge update) {
            applyReport(tick, sender, update.trainer(), update.cursor(), update.complete());
            if (update.answerRequested()) {
                context.outbox.send(tick, sender.name(), cursorReport(update.trainer()));
            }
        } else if (message instanceof SampleMessage.QueryCursor request) {
            context.outbox.send(tick, sender.name(), cursorReport(request.trainer()));
        } else if (message instanceof SampleMessage.CursorAnswered answer) {
            applyReport(tick, sender, answer.trainer(), answer.cursor(), answer.complete());
            inquiries.update(answer.trainer(), inquiry -> inquiry.withAnswer(sender, answer.complete()));
        } else if (message instanceof SampleMessage.Reconciled answer) {
            join(tick, answer.trainer(), CursorCodec.decodeOrStart(answer.trainer(), answer.cursor()));
        } else if (message instanceof SampleMessage.Progress update) {
            progress(update.trainer(), update.step(), update.useVersion());
        }
    }

    /** {@inheritDoc} */
    @Override
    public void run(Tick tick) {
        context.roles
                .working()
                .forEach(member -> observedNodes.add(member.identity().name()));
        observedNodes.removeIf(this::hasLeft);
        for (PlatformEvent event : tick.events(PlatformEvent.class)) {
            store.handle(tick, event).ifPresent(read -> join(tick, read.trainer(), read));
            for (Inquiry inquiry : inquiries.rows()) {
                if (inquiry.token() == event.token()) {
                    joinPlatformCursor(tick, inquiry.trainer(), event);
                    boolean read = event instanceof PlatformEvent.ObjectRead;
                    inquiries.put(
                            inquiry.trainer(),
                            inquiry.withPlatform(read ? Inquiry.Platform.ANSWERED : Inquiry.Platform.UNAVAILABLE));
                }
            }
            for (Confirmation confirmation : confirmations.rows()) {
                if (confirmation.token() == event.token()) {
                    joinPlatformCursor(tick, confirmation.trainer(), event);
                    confirmations.put(confirmation.trainer(), confirmation.withAnswer());
                }
            }
        }
        for (Inquiry inquiry : inquiries.rows()) {
            if (inquiry.platform() == Inquiry.Platform.DUE && !tick.now().isBefore(inquiry.readAt())) {
                inquiries.put(inquiry.trainer(), inquiry.withPlatform(Inquiry.Platform.REQUESTED));
                tick.emit(new PlatformEffect.Read(
                        inquiry.token(), PlatformPurpose.SAMPLE, CursorStore.key(inquiry.trainer())));
            }
        }
        if (context.rolesChanged() || sweep.due(tick.now())) {
            context.cursors.rows().forEach(state -> replicate(tick, state));
        }
        store.run(tick);
    }

    /**
     * Processes the cursor that a trainer presented.
     *
     * @param tick The current tick.
     * @param cursor The cursor.
     */
    void processPresented(Tick tick, Cursor cursor) {
        TrainerName trainer = cursor.trainer();
        CursorState before = context.cursor(trainer);
        if (before.acknowledged().covers(cursor) && !cursor.covers(before.acknowledged())) {
            tick.decide(Decision.of(
                    "pull",
                    trainer.toString(),
                    "later cursor",
                    "the trainer presented a cursor that lags behind the recorded one"));
        }
        join(tick, trainer, cursor);
        context.cursors.put(trainer, context.cursor(trainer).withComplete());
        replicate(tick, context.cursor(trainer));
    }

    /**
     * Returns whether the groups that a trainer has received are determined, querying the platform and the members if
     * needed.
     *
     * @param tick The current tick.
     * @param trainer The trainer.
     * @param since The earliest time at which the query may have started.
     * @return The certainty of the trainer's cursor at this node.
     */
    Inquiry.Certainty inquire(Tick tick, TrainerName trainer, MonotonicTime since) {
        Optional<Inquiry> current =
                inquiries.find(trainer).filter(inquiry -> !inquiry.startedAt().isBefore(since));
        if (current.isEmpty()) {
            startInquiry(tick, trainer);
            return Inquiry.Certainty.PENDING;
        }
        Inquiry.Certainty certainty = judge(tick.now(), trainer, current.get());
        if (certainty == Inquiry.Certainty.CERTAIN) {
            context.cursors.put(trainer, context.cursor(trainer).withComplete());
        }
        return certainty;
    }

    /**
     * Returns whether a keeper with a complete cursor of the trainer may trust a presented cursor now. While any node
     * is dead the platform is queried first, as an unreachable keeper stores there what it hands over.
     *
     * @param tick The current tick.
     * @param trainer The trainer.
     * @param since The earliest time at which the query may have started.
     * @return {@code true} if the cursor may be trusted, {@code false} while the answer of the platform is pending.
     */
    boolean confirmed(Tick tick, TrainerName trainer, MonotonicTime since) {
        if (!anyNodeDead()) {
            return true;
        }
        Optional<Confirmation> current = confirmations
                .find(trainer)
                .filter(confirmation -> !confirmation.startedAt().isBefore(since));
        if (current.isEmpty()) {
            Confirmation started = new Confirmation(trainer, tick.now(), context.tokens.next(), false);
            confirmations.put(trainer, started);
            tick.emit(new PlatformEffect.Read(started.token(), PlatformPurpose.SAMPLE, CursorStore.key(trainer)));
            return false;
        }
        return current.get().answered()
                || tick.now().since(current.get().startedAt()).compareTo(MEMBER_TIMEOUT) > 0;
    }

    /**
     * Records the progress of a trainer.
     *
     * @param trainer The trainer.
     * @param step The step for which the trainer pulls, or {@link SampleMessage#ANY_STEP}.
     * @param useVersion The weight version with which the trainer uses the samples.
     */
    void progress(TrainerName trainer, long step, long useVersion) {
        CursorState state = context.cursor(trainer);
        context.cursors.put(trainer, state.withProgress(state.progress().withPull(step, useVersion)));
    }

    /**
     * Returns whether the other keepers have confirmed all complete cursors of this node.
     *
     * @return {@code true} if this node may stop.
     */
    boolean handedOff() {
        return context.cursors.view().stream()
                .filter(CursorState::complete)
                .allMatch(state -> context
                        .roles
                        .others(context.roles.keepers(state.acknowledged().trainer()))
                        .stream()
                        .allMatch(member -> state.isConfirmedBy(member.identity())));
    }

    /**
     * Starts an inquiry that queries the platform and all members for the groups that a trainer has received.
     *
     * @param tick The current tick.
     * @param trainer The trainer.
     */
    private void startInquiry(Tick tick, TrainerName trainer) {
        MonotonicTime readAt = anyNodeDead() ? tick.now().plus(PLATFORM_READ_DELAY) : tick.now();
        inquiries.put(
                trainer,
                new Inquiry(
                        trainer,
                        tick.now(),
                        readAt,
                        context.tokens.next(),
                        Inquiry.Platform.DUE,
                        Set.of(),
                        context.cursor(trainer).complete()));
        context.roles
                .others(context.roles.working())
                .forEach(member -> context.outbox.send(tick, member, new SampleMessage.QueryCursor(trainer)));
    }

    /**
     * Evaluates an inquiry. If the platform answered, its answer and those of the keepers suffice: it is read late
     * enough that an unreachable keeper has written its cursor there. Otherwise, every member must have answered, one
     * of them must have a complete cursor, and no node may be dead, as it could have served the trainer unnoticed.
     *
     * @param now The current time.
     * @param trainer The trainer.
     * @param inquiry The inquiry.
     * @return The result of the inquiry.
     */
    private Inquiry.Certainty judge(MonotonicTime now, TrainerName trainer, Inquiry inquiry) {
        boolean all = answeredBy(inquiry, context.roles.others(context.roles.working()));
        boolean keepers = answeredBy(inquiry, context.roles.others(context.roles.keepers(trainer)));
        Duration age = now.since(inquiry.startedAt());
        boolean awaitsMembers = age.compareTo(MEMBER_TIMEOUT) < 0;
        if (inquiry.platform() == Inquiry.Platform.ANSWERED && keepers && (all || !awaitsMembers)) {
            return Inquiry.Certainty.CERTAIN;
        }
        boolean othersMayServe = anyNodeDead() || inMinority();
        if (inquiry.platform() == Inquiry.Platform.UNAVAILABLE && all && inquiry.complete() && !othersMayServe) {
            return Inquiry.Certainty.CERTAIN;
        }
        return age.compareTo(INQUIRY_TIMEOUT) < 0 ? Inquiry.Certainty.PENDING : Inquiry.Certainty.UNKNOWN;
    }

    /**
     * Returns whether members answered an inquiry.
     *
     * @param inquiry The inquiry.
     * @param members The members.
     * @return {@code true} if all of them answered.
     */
    private static boolean answeredBy(Inquiry inquiry, List<Member> members) {
        return members.stream().allMatch(member -> inquiry.answered().contains(member.identity()));
    }

    /**
     * Returns whether a node can't serve trainers unnoticed, because it announced that it is leaving, or has been dead
     * for so long that the members have forgotten it.
     *
     * @param name The node.
     * @return {@code true} if the node is leaving or is forgotten.
     */
    private boolean hasLeft(NodeName name) {
        return context.membership
                .find(name)
                .map(member -> member.condition() == MemberCondition.LEAVING)
                .orElse(true);
    }

    /**
     * Returns whether any node that took work is dead without having announced that it is leaving.
     *
     * @return {@code true} if any node is dead.
     */
    private boolean anyNodeDead() {
        return observedNodes.stream().anyMatch(name -> context.membership
                .find(name)
                .map(member -> member.condition() == MemberCondition.DEAD)
                .orElse(false));
    }

    /**
     * Returns whether at most half of the nodes are reachable, so that the others could serve trainers unnoticed. Then
     * only the platform can determine what a trainer has received.
     *
     * @return {@code true} if at most half of the nodes are reachable.
     */
    boolean inMinority() {
        return context.roles.working().size() * 2 <= observedNodes.size();
    }

    /**
     * Returns whether the record of a trainer's acknowledged groups survives the loss of this node: either the other
     * keeper has it, in another availability zone if the site has several, or the platform stores it.
     *
     * @param trainer The trainer.
     * @return {@code true} if the cursor is durable.
     */
    boolean isDurable(TrainerName trainer) {
        CursorState state = context.cursor(trainer);
        List<Member> keepers = context.roles.keepers(trainer);
        boolean confirmedByKeepers =
                context.roles.others(keepers).stream().allMatch(member -> state.isConfirmedBy(member.identity()));
        boolean zoneRedundant = context.inTwoZones(keepers) && !inMinority();
        return (zoneRedundant && confirmedByKeepers) || store.holds(state.acknowledged());
    }

    /**
     * Joins the cursor that the platform stores.
     *
     * @param tick The current tick.
     * @param trainer The trainer.
     * @param event The platform's answer.
     */
    private void joinPlatformCursor(Tick tick, TrainerName trainer, PlatformEvent event) {
        if (event instanceof PlatformEvent.ObjectRead read) {
            CursorStore.cursor(trainer, read.object()).ifPresent(cursor -> join(tick, trainer, cursor));
        }
    }

    /**
     * Joins the cursor that another node reported, and records that the node has it.
     *
     * @param tick The current tick.
     * @param sender The other node.
     * @param trainer The trainer.
     * @param text The encoded cursor that the other node has recorded.
     * @param complete {@code true} if the other node's cursor is complete.
     */
    private void applyReport(Tick tick, NodeIdentity sender, TrainerName trainer, String text, boolean complete) {
        Cursor cursor = CursorCodec.decodeOrStart(trainer, text);
        join(tick, trainer, cursor);
        CursorState state = context.cursor(trainer).withConfirmedCursor(sender, cursor);
        context.cursors.put(trainer, complete ? state.withComplete() : state);
    }

    /**
     * Joins a cursor, and removes the groups that it covers.
     *
     * @param tick The current tick.
     * @param trainer The trainer.
     * @param cursor The cursor.
     */
    private void join(Tick tick, TrainerName trainer, Cursor cursor) {
        CursorState before = context.cursor(trainer);
        CursorState after = before.withCursor(cursor);
        context.cursors.put(trainer, after);
        if (after.acknowledged().equals(before.acknowledged())) {
            return;
        }
        for (KeptGroup kept : context.kept.rows()) {
            GroupKey key = kept.group().key();
            if (key.trainer().equals(trainer) && after.acknowledged().contains(key)) {
                context.kept.remove(key);
                before.lastBatch()
                        .filter(batch -> batch.result().contains(key))
                        .ifPresent(batch -> context.statistics.handedOver(kept.group(), batch.useVersion()));
            }
        }
        for (HeldGroup held : context.held.rows()) {
            if (held.key().trainer().equals(trainer) && after.acknowledged().contains(held.key())) {
                context.held.remove(held.key());
                sampleRequests.cancel(held.key());
            }
        }
        if (before.lastBatch().isPresent()) {
            notifyHolders(tick, before, after);
        }
    }

    /**
     * Notifies the holders of groups that the trainer has received them. A holder that misses the message is informed
     * by a keeper later.
     *
     * @param tick The current tick.
     * @param before The state before the change.
     * @param after The state after the change.
     */
    private void notifyHolders(Tick tick, CursorState before, CursorState after) {
        TrainerName trainer = after.acknowledged().trainer();
        Set<NodeName> holders = after.acknowledged().without(before.acknowledged()).stream()
                .flatMap(key -> context.roles.others(context.roles.holders(key)).stream())
                .map(member -> member.identity().name())
                .collect(Collectors.toSet());
        String text = CursorCodec.encode(after.acknowledged());
        holders.forEach(
                name -> context.outbox.send(tick, name, new SampleMessage.Acknowledge(trainer, text, false, false)));
    }

    /**
     * Sends a complete cursor to the keepers that have not confirmed it.
     *
     * @param tick The current tick.
     * @param state The state of the cursor.
     */
    private void replicate(Tick tick, CursorState state) {
        if (!state.complete()) {
            return;
        }
        TrainerName trainer = state.acknowledged().trainer();
        for (Member keeper : context.roles.others(context.roles.keepers(trainer))) {
            if (!state.isConfirmedBy(keeper.identity())) {
                String text = CursorCodec.encode(state.acknowledged());
                context.outbox.send(tick, keeper, new SampleMessage.Acknowledge(trainer, text, true, true));
            }
        }
    }

    /**
     * Creates a message with the cursor of this node.
     *
     * @param trainer The trainer.
     * @return The message.
     */
    private SampleMessage cursorReport(TrainerName trainer) {
        CursorState state = context.cursor(trainer);
        return new SampleMessage.CursorAnswered(trainer, CursorCodec.encode(state.acknowledged()), state.complete());
    }

    /**
     * A query to the platform that confirms a cursor that a trainer presented.
     *
     * @param trainer The trainer.
     * @param startedAt The time at which the platform was queried.
     * @param token The token of the call.
     * @param answered {@code true} once the call ended.
     */
    private record Confirmation(TrainerName trainer, MonotonicTime startedAt, long token, boolean answered) {

        /**
         * Returns this confirmation after its call ended.
         *
         * @return The changed confirmation.
         */
        private Confirmation withAnswer() {
            return new Confirmation(trainer, startedAt, token, true);
        }
    }
}
