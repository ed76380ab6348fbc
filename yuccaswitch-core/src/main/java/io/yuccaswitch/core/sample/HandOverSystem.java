package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.configuration.TrainerSettings;
import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.identity.TrainerName;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Hands finished groups over at a keeper. A group is not handed over if the cursor contains it or if it exceeds the
 * staleness bound for the version in the pull, and not before the record of what the trainer has acknowledged is
 * durable.
 */
final class HandOverSystem implements SampleMessageHandler {

    /** The maximum number of characters of one hand-over, which contains at least one group regardless of its size. */
    private static final long MAXIMUM_BATCH_CHARACTERS = 4L << 20;

    /** The time after which a trainer should retry a refused pull. */
    private static final long RETRY_DELAY_MILLIS = 1000;

    /** The interval at which the progress of a trainer is announced again. */
    private static final Duration PROGRESS_INTERVAL = Duration.ofSeconds(5);

    /** The shared tables. */
    private final SampleContext context;

    /** Tracks which groups trainers have received. */
    private final CursorSystem cursors;

    /** The waiting pulls. */
    private final EntityTable<PullKey, WaitingPull> waiting = new EntityTable<>();

    /** The schedules at which the progress of trainers is announced. */
    private final EntityTable<TrainerName, Interval> progressAnnouncements = new EntityTable<>();

    /** The time of the previous tick, or empty before the first. */
    private Optional<MonotonicTime> previousTick = Optional.empty();

    /**
     * Creates a new system.
     *
     * @param context The shared tables.
     * @param cursors Tracks which groups trainers have received.
     */
    HandOverSystem(SampleContext context, CursorSystem cursors) {
        this.context = context;
        this.cursors = cursors;
    }

    /** {@inheritDoc} */
    @Override
    public void receive(Tick tick, NodeIdentity sender, SampleMessage message) {
        if (message instanceof SampleMessage.Pull pull) {
            PullKey key = new PullKey(sender.name(), pull.token());
            WaitingPull row = new WaitingPull(
                    key,
                    pull,
                    tick.now(),
                    tick.now().plus(Duration.ofMillis(pull.waitMillis())),
                    false,
                    Optional.empty());
            waiting.put(key, row);
            serve(tick, row);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void run(Tick tick) {
        Duration elapsed = previousTick.map(time -> tick.now().since(time)).orElse(Duration.ZERO);
        previousTick = Optional.of(tick.now());
        for (WaitingPull row : waiting.rows()) {
            row.cause().ifPresent(cause -> context.statistics.waited(row.pull().trainer(), cause, elapsed));
            serve(tick, row);
        }
    }

    /**
     * Answers a pull, or lets it wait.
     *
     * @param tick The current tick.
     * @param row The pull.
     */
    private void serve(Tick tick, WaitingPull row) {
        SampleMessage.Pull pull = row.pull();
        Optional<TrainerSettings> settings = context.trainer(pull.trainer());
        if (settings.isEmpty()) {
            refuseWithoutSettings(tick, row);
            return;
        }
        Inquiry.Certainty certainty = certainty(tick, row);
        if (certainty == Inquiry.Certainty.UNKNOWN) {
            refuse(
                    tick,
                    row,
                    "cursor-unknown",
                    "The groups that the trainer has received can't be determined at present.",
                    RETRY_DELAY_MILLIS);
            return;
        }
        if (certainty == Inquiry.Certainty.PENDING) {
            keepWaiting(tick, row, SampleReport.WaitCause.CURSOR_UNKNOWN);
            return;
        }
        announceProgress(tick, pull);
        if (!cursors.isDurable(pull.trainer())) {
            keepWaiting(tick, row, SampleReport.WaitCause.ACKNOWLEDGEMENT);
            return;
        }
        discardStale(tick, pull, settings.get().stalenessBound());
        List<FinishedGroup> batch = batch(pull);
        if (batch.isEmpty()) {
            keepWaiting(tick, row, SampleReport.WaitCause.NOTHING_FINISHED);
        } else {
            handOver(tick, row, batch);
        }
    }

    /**
     * Refuses a pull of a trainer without settings. A node that has just started has no configuration yet, so its
     * refusal must be temporary.
     *
     * @param tick The current tick.
     * @param row The pull.
     */
    private void refuseWithoutSettings(Tick tick, WaitingPull row) {
        if (context.isConfigured()) {
            refuse(tick, row, "trainer-unknown", "The trainer is not configured.", 0);
        } else {
            refuse(tick, row, "not-ready", "The node has not received a configuration yet.", RETRY_DELAY_MILLIS);
        }
    }

    /**
     * Returns whether the groups that the trainer of a pull has received are determined. A presented cursor determines
     * them, but a keeper without a complete cursor of the trainer starts an inquiry first, as the presented one may be
     * outdated.
     *
     * @param tick The current tick.
     * @param row The pull.
     * @return The certainty of the trainer's cursor at this node.
     */
    private Inquiry.Certainty certainty(Tick tick, WaitingPull row) {
        SampleMessage.Pull pull = row.pull();
        if (row.cursorApplied()) {
            return Inquiry.Certainty.CERTAIN;
        }
        boolean presented = !pull.cursor().isEmpty();
        boolean trusted = presented && !cursors.inMinority();
        if (trusted && context.cursor(pull.trainer()).complete()) {
            if (!cursors.confirmed(tick, pull.trainer(), row.arrivedAt())) {
                return Inquiry.Certainty.PENDING;
            }
        } else {
            Inquiry.Certainty certainty = cursors.inquire(tick, pull.trainer(), row.arrivedAt());
            if (certainty == Inquiry.Certainty.PENDING || (certainty == Inquiry.Certainty.UNKNOWN && !trusted)) {
                return certainty;
            }
        }
        if (presented) {
            cursors.processPresented(tick, CursorCodec.decodeOrStart(pull.trainer(), pull.cursor()));
        }
        waiting.put(row.key(), row.withCursorApplied());
        return Inquiry.Certainty.CERTAIN;
    }

    /**
     * Records the progress of a trainer, and announces it to the other nodes.
     *
     * @param tick The current tick.
     * @param pull The pull.
     */
    private void announceProgress(Tick tick, SampleMessage.Pull pull) {
        TrainerName trainer = pull.trainer();
        TrainerProgress recorded = context.cursor(trainer).progress();
        boolean anyStep = pull.step() == SampleMessage.ANY_STEP;
        boolean advanced = pull.step() > recorded.step()
                || pull.useVersion() > recorded.useVersion()
                || anyStep != recorded.anyStep();
        if (advanced) {
            cursors.progress(trainer, pull.step(), pull.useVersion());
        }
        Interval interval = progressAnnouncements.find(trainer).orElseGet(() -> new Interval(PROGRESS_INTERVAL));
        progressAnnouncements.put(trainer, interval);
        if (interval.due(tick.now()) || advanced) {
            SampleMessage message = new SampleMessage.Progress(trainer, pull.step(), pull.useVersion());
            for (Member member : context.roles.others(context.roles.working())) {
                context.outbox.send(tick, member, message);
            }
        }
    }

    /**
     * Discards the groups of a trainer that exceed the staleness bound. Versions only increase, so such a group can
     * never be used.
     *
     * @param tick The current tick.
     * @param pull The pull.
     * @param bound The maximum number of versions that a sample may lag behind.
     */
    private void discardStale(Tick tick, SampleMessage.Pull pull, int bound) {
        for (KeptGroup kept : context.kept.rows()) {
            FinishedGroup group = kept.group();
            GroupKey key = group.key();
            if (!key.trainer().equals(pull.trainer()) || group.oldestVersion() >= pull.useVersion() - bound) {
                continue;
            }
            context.kept.remove(key);
            int tokens = group.samples().stream().mapToInt(Sample::tokens).sum();
            context.statistics.discarded(
                    key.trainer(), DiscardReason.STALE, group.samples().size(), tokens);
            tick.decide(Decision.of(
                    "discard",
                    key.toString(),
                    "run again",
                    "version " + group.oldestVersion() + " would be used at version " + pull.useVersion()));
            SampleMessage message = new SampleMessage.Discarded(key, group.run(), DiscardReason.STALE.code());
            context.roles.holders(key).forEach(member -> context.outbox.send(tick, member, message));
        }
    }

    /**
     * Selects the groups to hand over. A repeated pull with the same cursor and step returns the same groups while this
     * node keeps all of them.
     *
     * @param pull The pull.
     * @return The groups.
     */
    private List<FinishedGroup> batch(SampleMessage.Pull pull) {
        CursorState state = context.cursor(pull.trainer());
        Optional<List<FinishedGroup>> repeated = state.lastBatch()
                .filter(batch -> batch.base().equals(state.acknowledged()) && batch.step() == pull.step())
                .map(batch -> batch.result().without(state.acknowledged()))
                .filter(keys -> keys.size() <= pull.maximumGroups())
                .filter(keys -> keys.stream().allMatch(context.kept::contains))
                .map(keys -> keys.stream()
                        .map(key -> context.kept.find(key).orElseThrow().group())
                        .toList());
        return repeated.orElseGet(() -> newBatch(pull, state.acknowledged()));
    }

    /**
     * Selects groups for a first hand-over based on the acknowledged cursor.
     *
     * @param pull The pull.
     * @param acknowledged The groups that the trainer has acknowledged.
     * @return The groups, earlier steps first.
     */
    private List<FinishedGroup> newBatch(SampleMessage.Pull pull, Cursor acknowledged) {
        List<FinishedGroup> selected = new ArrayList<>();
        long characters = 0;
        for (FinishedGroup group : readyGroups(pull, acknowledged)) {
            characters += group.characters();
            boolean full = selected.size() >= pull.maximumGroups() || characters > MAXIMUM_BATCH_CHARACTERS;
            if (full && !selected.isEmpty()) {
                break;
            }
            selected.add(group);
        }
        return selected;
    }

    /**
     * Lists the groups that may be handed over.
     *
     * @param pull The pull.
     * @param acknowledged The groups that the trainer has acknowledged.
     * @return The groups, earlier steps first.
     */
    private List<FinishedGroup> readyGroups(SampleMessage.Pull pull, Cursor acknowledged) {
        return context.kept.view().stream()
                .map(KeptGroup::group)
                .filter(group -> group.key().trainer().equals(pull.trainer()))
                .filter(group ->
                        pull.step() == SampleMessage.ANY_STEP || group.key().step() == pull.step())
                .filter(group -> !acknowledged.contains(group.key()))
                .sorted(Comparator.comparing(FinishedGroup::key))
                .toList();
    }

    /**
     * Hands groups over.
     *
     * @param tick The current tick.
     * @param row The pull.
     * @param groups The groups.
     */
    private void handOver(Tick tick, WaitingPull row, List<FinishedGroup> groups) {
        SampleMessage.Pull pull = row.pull();
        CursorState state = context.cursor(pull.trainer());
        Cursor result = state.acknowledged()
                .with(groups.stream().map(FinishedGroup::key).toList());
        context.cursors.put(
                pull.trainer(),
                state.withBatch(new CursorState.Batch(state.acknowledged(), pull.step(), pull.useVersion(), result)));
        int remaining = readyGroups(pull, result).size();
        tick.decide(Decision.of(
                "hand-over",
                pull.trainer().toString(),
                groups.size() + " groups",
                "used at version " + pull.useVersion() + ", " + remaining + " more are ready"));
        answer(tick, row, new SampleMessage.PullAnswered(pull.token(), CursorCodec.encode(result), groups, remaining));
    }

    /**
     * Lets a pull wait, or answers it without groups or refuses it after its deadline. A pull whose cursor is not
     * determined waits for the end of the inquiry.
     *
     * @param tick The current tick.
     * @param row The pull.
     * @param cause The cause for which it waits.
     */
    private void keepWaiting(Tick tick, WaitingPull row, SampleReport.WaitCause cause) {
        if (tick.now().isBefore(row.deadline()) || cause == SampleReport.WaitCause.CURSOR_UNKNOWN) {
            waiting.update(row.key(), current -> current.withCause(cause));
            return;
        }
        if (cause == SampleReport.WaitCause.ACKNOWLEDGEMENT) {
            refuse(
                    tick,
                    row,
                    "cursor-unsafe",
                    "The record of the groups that the trainer has received is not yet durable.",
                    RETRY_DELAY_MILLIS);
            return;
        }
        String cursor = CursorCodec.encode(context.cursor(row.pull().trainer()).acknowledged());
        answer(tick, row, new SampleMessage.PullAnswered(row.pull().token(), cursor, List.of(), 0));
    }

    /**
     * Refuses a pull.
     *
     * @param tick The current tick.
     * @param row The pull.
     * @param code The code of the reason.
     * @param message The explanation for the trainer.
     * @param retryAfterMillis The time after which the trainer may retry, or zero if a retry is useless.
     */
    private void refuse(Tick tick, WaitingPull row, String code, String message, long retryAfterMillis) {
        tick.decide(Decision.of("hand-over", row.pull().trainer().toString(), Decision.NO_CHOICE, code));
        answer(tick, row, new SampleMessage.PullRefused(row.pull().token(), code, message, retryAfterMillis));
    }

    /**
     * Answers a pull.
     *
     * @param tick The current tick.
     * @param row The pull.
     * @param message The answer.
     */
    private void answer(Tick tick, WaitingPull row, SampleMessage message) {
        waiting.remove(row.key());
        context.outbox.send(tick, row.key().origin(), message);
    }

    /**
     * The key of a waiting pull.
     *
     * @param origin The node that forwarded the pull.
     * @param token The token of the pull at that node.
     */
    private record PullKey(NodeName origin, long token) {}

    /**
     * A waiting pull.
     *
     * @param key The key of this row.
     * @param pull The pull.
     * @param arrivedAt The time at which it arrived.
     * @param deadline The time until which it may wait for groups.
     * @param cursorApplied {@code true} once its cursor was applied, or was determined by an inquiry.
     * @param cause The cause for which it last waited, or empty if it has not waited yet.
     */
    private record WaitingPull(
            PullKey key,
            SampleMessage.Pull pull,
            MonotonicTime arrivedAt,
            MonotonicTime deadline,
            boolean cursorApplied,
            Optional<SampleReport.WaitCause> cause) {

        /**
         * Returns this pull after its cursor was applied.
         *
         * @return The changed pull.
         */
        private WaitingPull withCursorApplied() {
            return new WaitingPull(key, pull, arrivedAt, deadline, true, cause);
        }

        /**
         * Returns this pull with the cause for which it waits.
         *
         * @param waitCause The cause.
         * @return The changed pull.
         */
        private WaitingPull withCause(SampleReport.WaitCause waitCause) {
            return new WaitingPull(key, pull, arrivedAt, deadline, cursorApplied, Optional.of(waitCause));
        }
    }
}
