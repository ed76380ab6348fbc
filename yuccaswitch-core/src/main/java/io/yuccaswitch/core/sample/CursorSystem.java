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
 * Knows what trainers have taken: joins the cursors that they present, shares them with the other keeper and the
 * holders of the groups, and finds out what a trainer without a cursor took before.
 */
final class CursorSystem implements SampleMessageHandler {

    /** The interval at which what is not confirmed is sent again. */
    private static final Duration SWEEP_INTERVAL = Duration.ofMillis(200);

    /** The time after which an inquiry is content with the platform and the keepers. */
    private static final Duration MEMBER_PATIENCE = Duration.ofSeconds(1);

    /** The time in which a keeper that is out of sight brings what the trainer took from it to the platform. */
    private static final Duration GONE_KEEPER_PATIENCE = Duration.ofMillis(2500);

    /** The time after which an inquiry has failed. */
    private static final Duration INQUIRY_PATIENCE = Duration.ofSeconds(4);

    /** The shared tables. */
    private final SampleContext context;

    /** The requests in progress. */
    private final FlightTable flights;

    /** Keeps cursors on the platform. */
    private final CursorStore store;

    /** The inquiries by trainer, the latest of each. */
    private final EntityTable<TrainerName, Inquiry> inquiries = new EntityTable<>();

    /** The names of all nodes that ever took work in this life of this node. */
    private final Set<NodeName> seen = new HashSet<>();

    /** When unconfirmed messages are sent again. */
    private final Interval sweep = new Interval(SWEEP_INTERVAL);

    /**
     * Creates a new system.
     *
     * @param context The shared tables.
     * @param flights The requests in progress.
     */
    CursorSystem(SampleContext context, FlightTable flights) {
        this.context = context;
        this.flights = flights;
        store = new CursorStore(context);
    }

    /** {@inheritDoc} */
    @Override
    public void receive(Tick tick, NodeIdentity sender, SampleMessage message) {
        if (message instanceof SampleMessage.Acknowledge news) {
            learn(tick, sender, news.trainer(), news.cursor(), news.sure());
            if (news.answer()) {
                context.outbox.send(tick, sender.name(), known(news.trainer()));
            }
        } else if (message instanceof SampleMessage.AskCursor question) {
            context.outbox.send(tick, sender.name(), known(question.trainer()));
        } else if (message instanceof SampleMessage.CursorKnown answer) {
            learn(tick, sender, answer.trainer(), answer.cursor(), answer.sure());
            inquiries.update(answer.trainer(), inquiry -> inquiry.withAnswer(sender, answer.sure()));
        } else if (message instanceof SampleMessage.Reconciled answer) {
            join(tick, answer.trainer(), CursorCodec.decodeOrStart(answer.trainer(), answer.cursor()));
        } else if (message instanceof SampleMessage.Progress news) {
            progress(news.trainer(), news.step(), news.useVersion());
        }
    }

    /** {@inheritDoc} */
    @Override
    public void run(Tick tick) {
        context.roles.working().forEach(member -> seen.add(member.identity().name()));
        seen.removeIf(this::leaves);
        for (PlatformEvent event : tick.events(PlatformEvent.class)) {
            store.take(tick, event).ifPresent(read -> join(tick, read.trainer(), read));
            inquiries.rows().stream()
                    .filter(inquiry -> inquiry.token() == event.token())
                    .findFirst()
                    .ifPresent(inquiry -> answered(tick, inquiry, event));
        }
        for (Inquiry inquiry : inquiries.rows()) {
            if (inquiry.platform() == Inquiry.Platform.DUE && !tick.now().isBefore(inquiry.readAt())) {
                inquiries.put(inquiry.trainer(), inquiry.withPlatform(Inquiry.Platform.ASKED));
                tick.emit(new PlatformEffect.Read(
                        inquiry.token(), PlatformPurpose.SAMPLE, CursorStore.key(inquiry.trainer())));
            }
        }
        if (context.rolesChanged() || sweep.due(tick.now())) {
            context.cursors.rows().forEach(state -> share(tick, state));
        }
        store.run(tick);
    }

    /**
     * Takes the cursor that a trainer presented.
     *
     * @param tick The current tick.
     * @param cursor The cursor.
     */
    void present(Tick tick, Cursor cursor) {
        TrainerName trainer = cursor.trainer();
        CursorState before = context.cursor(trainer);
        if (before.acknowledged().covers(cursor) && !cursor.covers(before.acknowledged())) {
            tick.decide(Decision.of("pull", trainer.toString(), "later cursor", "the trainer presented an old cursor"));
        }
        join(tick, trainer, cursor);
        context.cursors.put(trainer, context.cursor(trainer).withSure());
        share(tick, context.cursor(trainer));
    }

    /**
     * Returns whether it is known what a trainer has taken, asking the platform and the members for it if need be.
     *
     * @param tick The current tick.
     * @param trainer The trainer.
     * @param since The time since when the asking must have begun.
     * @return What is known.
     */
    Inquiry.Certainty inquire(Tick tick, TrainerName trainer, MonotonicTime since) {
        Optional<Inquiry> current =
                inquiries.find(trainer).filter(inquiry -> !inquiry.startedAt().isBefore(since));
        if (current.isEmpty()) {
            begin(tick, trainer);
            return Inquiry.Certainty.PENDING;
        }
        Inquiry.Certainty certainty = judge(tick.now(), trainer, current.get());
        if (certainty == Inquiry.Certainty.CERTAIN) {
            context.cursors.put(trainer, context.cursor(trainer).withSure());
        }
        return certainty;
    }

    /**
     * Takes in how far a trainer has come.
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
     * Returns whether all the cursors that this node is sure of are safe at their keepers and on the platform.
     *
     * @return {@code true} if this node may stop.
     */
    boolean handedOff() {
        return context.cursors.view().stream()
                .filter(CursorState::sure)
                .allMatch(state -> context
                        .roles
                        .others(context.roles.keepers(state.acknowledged().trainer()))
                        .stream()
                        .allMatch(member -> state.sharedWith(member.identity())));
    }

    /**
     * Begins to ask the platform and all members for what a trainer has taken.
     *
     * @param tick The current tick.
     * @param trainer The trainer.
     */
    private void begin(Tick tick, TrainerName trainer) {
        MonotonicTime readAt = anyGone() ? tick.now().plus(GONE_KEEPER_PATIENCE) : tick.now();
        inquiries.put(
                trainer,
                new Inquiry(
                        trainer,
                        tick.now(),
                        readAt,
                        context.tokens.next(),
                        Inquiry.Platform.DUE,
                        Set.of(),
                        context.cursor(trainer).sure()));
        context.roles
                .others(context.roles.working())
                .forEach(member -> context.outbox.send(tick, member, new SampleMessage.AskCursor(trainer)));
    }

    /**
     * Judges what an inquiry found. With the platform, its answer and those of the keepers suffice; it is asked late
     * enough that a keeper out of sight has written there what it knows. Without it, every member must have answered,
     * one of them must be sure, and none may be gone, as it could have served the trainer unseen.
     *
     * @param now The current time.
     * @param trainer The trainer.
     * @param inquiry The inquiry.
     * @return What the inquiry found.
     */
    private Inquiry.Certainty judge(MonotonicTime now, TrainerName trainer, Inquiry inquiry) {
        boolean all = answeredBy(inquiry, context.roles.others(context.roles.working()));
        boolean keepers = answeredBy(inquiry, context.roles.others(context.roles.keepers(trainer)));
        Duration age = now.since(inquiry.startedAt());
        boolean patient = age.compareTo(MEMBER_PATIENCE) < 0;
        if (inquiry.platform() == Inquiry.Platform.ANSWERED && keepers && (all || !patient)) {
            return Inquiry.Certainty.CERTAIN;
        }
        if (inquiry.platform() == Inquiry.Platform.UNAVAILABLE && all && inquiry.sure() && !anyGone()) {
            return Inquiry.Certainty.CERTAIN;
        }
        return age.compareTo(INQUIRY_PATIENCE) < 0 ? Inquiry.Certainty.PENDING : Inquiry.Certainty.UNKNOWN;
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
     * Returns whether a node said that it leaves, such that it has handed off what it knew.
     *
     * @param name The node.
     * @return {@code true} if the node leaves.
     */
    private boolean leaves(NodeName name) {
        return context.membership
                .find(name)
                .map(member -> member.condition() == MemberCondition.LEAVING)
                .orElse(false);
    }

    /**
     * Returns whether any node that took work has gone without saying that it leaves.
     *
     * @return {@code true} if any node is gone.
     */
    private boolean anyGone() {
        return seen.stream().anyMatch(name -> context.membership
                .find(name)
                .map(member -> member.condition() == MemberCondition.DEAD)
                .orElse(true));
    }

    /**
     * Takes the platform's answer to an inquiry.
     *
     * @param tick The current tick.
     * @param inquiry The inquiry.
     * @param event The answer.
     */
    private void answered(Tick tick, Inquiry inquiry, PlatformEvent event) {
        Inquiry.Platform answer = Inquiry.Platform.UNAVAILABLE;
        if (event instanceof PlatformEvent.ObjectRead read) {
            answer = Inquiry.Platform.ANSWERED;
            CursorStore.cursor(inquiry.trainer(), read.object())
                    .ifPresent(cursor -> join(tick, inquiry.trainer(), cursor));
        }
        inquiries.put(inquiry.trainer(), inquiry.withPlatform(answer));
    }

    /**
     * Takes what another node knows.
     *
     * @param tick The current tick.
     * @param sender The other node.
     * @param trainer The trainer.
     * @param text The cursor that the other node knows.
     * @param sure {@code true} if the other node was sure of it.
     */
    private void learn(Tick tick, NodeIdentity sender, TrainerName trainer, String text, boolean sure) {
        Cursor cursor = CursorCodec.decodeOrStart(trainer, text);
        join(tick, trainer, cursor);
        CursorState state = context.cursor(trainer).withKnownAt(sender, cursor);
        context.cursors.put(trainer, sure ? state.withSure() : state);
    }

    /**
     * Joins a cursor, and lets go of the groups that it covers.
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
                flights.cancel(held.key());
            }
        }
        if (before.lastBatch().isPresent()) {
            tellHolders(tick, before, after);
        }
    }

    /**
     * Tells the holders of groups that the groups were taken. A holder that does not hear it learns it from a keeper.
     *
     * @param tick The current tick.
     * @param before What was known before.
     * @param after What is known now.
     */
    private void tellHolders(Tick tick, CursorState before, CursorState after) {
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
     * Shares a cursor that this node is sure of with the keepers that are not known to know it.
     *
     * @param tick The current tick.
     * @param state The cursor.
     */
    private void share(Tick tick, CursorState state) {
        if (!state.sure()) {
            return;
        }
        TrainerName trainer = state.acknowledged().trainer();
        for (Member keeper : context.roles.others(context.roles.keepers(trainer))) {
            if (!state.sharedWith(keeper.identity())) {
                String text = CursorCodec.encode(state.acknowledged());
                context.outbox.send(tick, keeper, new SampleMessage.Acknowledge(trainer, text, true, true));
            }
        }
    }

    /**
     * Says what this node knows.
     *
     * @param trainer The trainer.
     * @return The message.
     */
    private SampleMessage known(TrainerName trainer) {
        CursorState state = context.cursor(trainer);
        return new SampleMessage.CursorKnown(trainer, CursorCodec.encode(state.acknowledged()), state.sure());
    }
}
