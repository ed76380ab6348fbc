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
 * Hands finished groups over at a keeper. Nothing is handed over that the cursor holds, that is past the staleness
 * bound for the version named in the pull, or before the other keeper knows what the trainer has taken.
 */
final class HandOverSystem implements SampleMessageHandler {

    /** The largest number of characters of one hand-over, which always has at least one group. */
    private static final long MAXIMUM_CHARACTERS = 4L << 20;

    /** The time after which a trainer should pull again if its cursor is not known. */
    private static final long RETRY_AFTER_MILLIS = 1000;

    /** The interval at which the progress of a trainer is told again. */
    private static final Duration PROGRESS_INTERVAL = Duration.ofSeconds(5);

    /** The shared tables. */
    private final SampleContext context;

    /** Knows what trainers have taken. */
    private final CursorSystem cursors;

    /** The pulls that wait. */
    private final EntityTable<PullKey, WaitingPull> waiting = new EntityTable<>();

    /** When the progress of trainers was last told. */
    private final EntityTable<TrainerName, Interval> progressTold = new EntityTable<>();

    /** The time of the tick before. */
    private Optional<MonotonicTime> before = Optional.empty();

    /**
     * Creates a new system.
     *
     * @param context The shared tables.
     * @param cursors Knows what trainers have taken.
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
        Duration passed = before.map(time -> tick.now().since(time)).orElse(Duration.ZERO);
        before = Optional.of(tick.now());
        for (WaitingPull row : waiting.rows()) {
            row.cause().ifPresent(cause -> context.statistics.waited(row.pull().trainer(), cause, passed));
            serve(tick, row);
        }
    }

    /**
     * Answers a pull if it can be answered.
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
            refuse(tick, row, "cursor-unknown", "What the trainer has taken can't be known now.", RETRY_AFTER_MILLIS);
            return;
        }
        if (certainty == Inquiry.Certainty.PENDING) {
            keepWaiting(tick, row, SampleReport.IdleCause.CURSOR_UNKNOWN);
            return;
        }
        progress(tick, pull);
        if (!cursors.safe(pull.trainer())) {
            keepWaiting(tick, row, SampleReport.IdleCause.ACKNOWLEDGEMENT);
            return;
        }
        discardStale(tick, pull, settings.get().stalenessBound());
        List<FinishedGroup> batch = batch(pull);
        if (batch.isEmpty()) {
            keepWaiting(tick, row, SampleReport.IdleCause.NOTHING_FINISHED);
        } else {
            handOver(tick, row, batch);
        }
    }

    /**
     * Refuses a pull of a trainer whose settings are not known. A node that has just started knows none yet, which must
     * not be taken for good.
     *
     * @param tick The current tick.
     * @param row The pull.
     */
    private void refuseWithoutSettings(Tick tick, WaitingPull row) {
        if (context.isConfigured()) {
            refuse(tick, row, "trainer-unknown", "The trainer is not configured.", 0);
        } else {
            refuse(tick, row, "not-ready", "The node has no configuration yet.", RETRY_AFTER_MILLIS);
        }
    }

    /**
     * Returns whether it is known what the trainer of a pull has taken. A trainer that presents a cursor says it
     * itself; a keeper that has not followed the trainer asks around first, as the cursor may be an old one.
     *
     * @param tick The current tick.
     * @param row The pull.
     * @return What is known.
     */
    private Inquiry.Certainty certainty(Tick tick, WaitingPull row) {
        SampleMessage.Pull pull = row.pull();
        if (row.cursorTaken()) {
            return Inquiry.Certainty.CERTAIN;
        }
        boolean presented = !pull.cursor().isEmpty();
        boolean trusted = presented && !cursors.inMinority();
        if (trusted && context.cursor(pull.trainer()).sure()) {
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
            cursors.present(tick, CursorCodec.decodeOrStart(pull.trainer(), pull.cursor()));
        }
        waiting.put(row.key(), row.withCursorTaken());
        return Inquiry.Certainty.CERTAIN;
    }

    /**
     * Takes in how far a trainer has come, and tells the other nodes.
     *
     * @param tick The current tick.
     * @param pull The pull.
     */
    private void progress(Tick tick, SampleMessage.Pull pull) {
        TrainerName trainer = pull.trainer();
        TrainerProgress known = context.cursor(trainer).progress();
        boolean anyStep = pull.step() == SampleMessage.ANY_STEP;
        boolean news =
                pull.step() > known.step() || pull.useVersion() > known.useVersion() || anyStep != known.anyStep();
        if (news) {
            cursors.progress(trainer, pull.step(), pull.useVersion());
        }
        Interval interval = progressTold.find(trainer).orElseGet(() -> new Interval(PROGRESS_INTERVAL));
        progressTold.put(trainer, interval);
        if (interval.due(tick.now()) || news) {
            SampleMessage message = new SampleMessage.Progress(trainer, pull.step(), pull.useVersion());
            for (Member member : context.roles.others(context.roles.working())) {
                context.outbox.send(tick, member, message);
            }
        }
    }

    /**
     * Discards the groups of a trainer that are past the staleness bound. As versions only grow, they stay so.
     *
     * @param tick The current tick.
     * @param pull The pull.
     * @param bound The largest number of versions that a sample may be behind.
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
                    "version " + group.oldestVersion() + " is used at " + pull.useVersion()));
            SampleMessage message = new SampleMessage.Discarded(key, group.run(), DiscardReason.STALE.code());
            context.roles.holders(key).forEach(member -> context.outbox.send(tick, member, message));
        }
    }

    /**
     * Picks the groups to hand over. The same cursor gives the same groups again while they are all here.
     *
     * @param pull The pull.
     * @return The groups.
     */
    private List<FinishedGroup> batch(SampleMessage.Pull pull) {
        CursorState state = context.cursor(pull.trainer());
        Optional<List<FinishedGroup>> again = state.lastBatch()
                .filter(batch -> batch.base().equals(state.acknowledged()) && batch.step() == pull.step())
                .map(batch -> batch.result().without(state.acknowledged()))
                .filter(keys -> keys.size() <= pull.maximumGroups())
                .filter(keys -> keys.stream().allMatch(context.kept::contains))
                .map(keys -> keys.stream()
                        .map(key -> context.kept.find(key).orElseThrow().group())
                        .toList());
        return again.orElseGet(() -> fresh(pull, state.acknowledged()));
    }

    /**
     * Picks groups that were not handed over upon this cursor before.
     *
     * @param pull The pull.
     * @param acknowledged What the trainer has taken.
     * @return The groups, earlier steps first.
     */
    private List<FinishedGroup> fresh(SampleMessage.Pull pull, Cursor acknowledged) {
        List<FinishedGroup> picked = new ArrayList<>();
        long characters = 0;
        for (FinishedGroup group : ready(pull, acknowledged)) {
            characters += group.characters();
            boolean full = picked.size() >= pull.maximumGroups() || characters > MAXIMUM_CHARACTERS;
            if (full && !picked.isEmpty()) {
                break;
            }
            picked.add(group);
        }
        return picked;
    }

    /**
     * Lists the groups that may be handed over.
     *
     * @param pull The pull.
     * @param acknowledged What the trainer has taken.
     * @return The groups, earlier steps first.
     */
    private List<FinishedGroup> ready(SampleMessage.Pull pull, Cursor acknowledged) {
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
        int remaining = ready(pull, result).size();
        tick.decide(Decision.of(
                "hand-over",
                pull.trainer().toString(),
                groups.size() + " groups",
                "used at version " + pull.useVersion() + ", " + remaining + " more are ready"));
        answer(tick, row, new SampleMessage.PullAnswered(pull.token(), CursorCodec.encode(result), groups, remaining));
    }

    /**
     * Lets a pull wait, or answers it without groups if its time is over.
     *
     * @param tick The current tick.
     * @param row The pull.
     * @param cause What is missing.
     */
    private void keepWaiting(Tick tick, WaitingPull row, SampleReport.IdleCause cause) {
        if (tick.now().isBefore(row.deadline()) || cause == SampleReport.IdleCause.CURSOR_UNKNOWN) {
            waiting.update(row.key(), current -> current.withCause(cause));
            return;
        }
        if (cause == SampleReport.IdleCause.ACKNOWLEDGEMENT) {
            refuse(tick, row, "cursor-unsafe", "What the trainer has taken is not yet safe.", RETRY_AFTER_MILLIS);
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
     * @param retryAfterMillis The time after which it is worth to ask again, or zero if it never is.
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
     * @param origin The node that passed the pull on.
     * @param token The token of the pull at that node.
     */
    private record PullKey(NodeName origin, long token) {}

    /**
     * A waiting pull.
     *
     * @param key The key of this row.
     * @param pull The pull.
     * @param arrivedAt The time at which it arrived.
     * @param deadline The time by which it is answered.
     * @param cursorTaken {@code true} once its cursor was taken in, or was found without it.
     * @param cause What was missing when it was last looked at, or empty before.
     */
    private record WaitingPull(
            PullKey key,
            SampleMessage.Pull pull,
            MonotonicTime arrivedAt,
            MonotonicTime deadline,
            boolean cursorTaken,
            Optional<SampleReport.IdleCause> cause) {

        /**
         * Returns this pull after its cursor was taken in.
         *
         * @return The changed pull.
         */
        private WaitingPull withCursorTaken() {
            return new WaitingPull(key, pull, arrivedAt, deadline, true, cause);
        }

        /**
         * Returns this pull with what is missing.
         *
         * @param missing What is missing.
         * @return The changed pull.
         */
        private WaitingPull withCause(SampleReport.IdleCause missing) {
            return new WaitingPull(key, pull, arrivedAt, deadline, cursorTaken, Optional.of(missing));
        }
    }
}
