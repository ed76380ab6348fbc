package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.platform.ObjectKey;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.time.MonotonicTime;
import io.yuccaswitch.core.value.Bytes;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BiConsumer;

/**
 * Accepts batch jobs: writes the job, then its entry in the index, each by a conditional creation. The creation of the
 * entry accepts the job, such that a job of which only the first part was written never runs.
 */
final class BatchAdmissionSystem implements DecisionSystem {

    /** The pause between two reads of an entry whose creation was not answered. */
    private static final Duration READ_BACK_PAUSE = Duration.ofMillis(150);

    /** The time that must be left for a further call: several times what the platform takes for one. */
    private static final Duration SHORTEST_CALL = Duration.ofMillis(50);

    /** The tables of the batch system. */
    private final BatchState state;

    /** Finds out when a job is given up. */
    private final GiveUpTimes giveUpTimes;

    /** Decides which node runs a job. */
    private final RunnerChoice runners;

    /** The entries that are to be read back. */
    private final List<ReadBack> readBacks = new ArrayList<>();

    /**
     * Creates a system without submissions.
     *
     * @param state The tables of the batch system.
     * @param giveUpTimes Finds out when a job is given up.
     * @param runners Decides which node runs a job.
     */
    BatchAdmissionSystem(BatchState state, GiveUpTimes giveUpTimes, RunnerChoice runners) {
        this.state = state;
        this.giveUpTimes = giveUpTimes;
        this.runners = runners;
    }

    @Override
    public void run(Tick tick) {
        for (BatchEvent.Submitted submitted : tick.events(BatchEvent.Submitted.class)) {
            submit(tick, new Submission(submitted.ticket(), submitted.job(), submitted.deadline()));
        }
        for (ReadBack due : List.copyOf(readBacks)) {
            if (!tick.now().isBefore(due.at())) {
                readBacks.remove(due);
                readBack(tick, due.submission());
            }
        }
    }

    /**
     * Begins to admit a job.
     *
     * @param tick The tick.
     * @param submission The submission.
     */
    private void submit(Tick tick, Submission submission) {
        BatchJobId id = submission.job().id();
        Optional<RunningJob> known = state.running().find(id);
        if (known.isPresent()) {
            boolean same = known.get().job().asksTheSame(submission.job());
            reply(tick, submission, same ? new BatchAnswer.Accepted() : new BatchAnswer.Mismatch(), "runs here");
            return;
        }
        if (state.admitting().putIfAbsent(id, submission.ticket()) != null) {
            reply(tick, submission, new BatchAnswer.Unsure("already being admitted"), "an earlier call is in progress");
            return;
        }
        create(tick, submission, BatchObjects.job(id), state.codec().writeJob(submission.job()), (later, event) -> {
            if (event instanceof PlatformEvent.Accepted) {
                createEntry(later, submission);
            } else if (event instanceof PlatformEvent.Conflict conflict) {
                compare(later, submission, conflict.current());
            } else {
                finish(later, submission, notAccepted(submission, "the job was not kept"), describe(event));
            }
        });
    }

    /**
     * Goes on after the job turned out to be written already.
     *
     * @param tick The tick.
     * @param submission The submission.
     * @param current The object that is there.
     */
    private void compare(Tick tick, Submission submission, Optional<StoredObject> current) {
        Optional<BatchJob> written = current.flatMap(object -> state.codec().readJob(object.value()));
        if (written.isPresent() && !written.get().asksTheSame(submission.job())) {
            finish(tick, submission, new BatchAnswer.Mismatch(), "the identifier is taken by other work");
            return;
        }
        createEntry(tick, submission.asWrittenBefore());
    }

    /**
     * Creates the entry that accepts the job.
     *
     * @param tick The tick.
     * @param submission The submission.
     */
    private void createEntry(Tick tick, Submission submission) {
        if (!leavesTimeForCall(submission, tick.now())) {
            finish(tick, submission, notAccepted(submission, "the entry was not written"), "no time is left");
            return;
        }
        BatchJob job = submission.job();
        BatchIndexEntry entry = new BatchIndexEntry(
                job.id(), runners.choose(job), false, job.items().size(), job.model());
        create(tick, submission, BatchObjects.index(job.id()), state.codec().writeEntry(entry), (later, event) -> {
            if (event instanceof PlatformEvent.Accepted) {
                accept(later, submission, entry.runner());
            } else if (event instanceof PlatformEvent.Conflict) {
                finish(later, submission, new BatchAnswer.Accepted(), "accepted before");
            } else if (event instanceof PlatformEvent.Unavailable failure && failure.maybeApplied()) {
                readBackAt(later, submission, later.now());
            } else {
                finish(later, submission, notAccepted(submission, "the entry was not kept"), describe(event));
            }
        });
    }

    /**
     * Plans to read an entry back, unless its submission has to be answered before. An entry that was created after all
     * then reaches its runner with the index.
     *
     * @param tick The tick.
     * @param submission The submission.
     * @param at When it is read.
     */
    private void readBackAt(Tick tick, Submission submission, MonotonicTime at) {
        if (leavesTimeForCall(submission, at)) {
            readBacks.add(new ReadBack(submission, at));
        } else {
            BatchAnswer answer = new BatchAnswer.Unsure("the platform did not answer");
            finish(tick, submission, answer, "the entry may have been created");
        }
    }

    /**
     * Finds out whether an entry was created though its creation was not answered.
     *
     * @param tick The tick.
     * @param submission The submission.
     */
    private void readBack(Tick tick, Submission submission) {
        ObjectKey key = BatchObjects.index(submission.job().id());
        state.read(tick, submission.deadline(), key, (later, event) -> {
            Optional<BatchIndexEntry> entry = event instanceof PlatformEvent.ObjectRead read
                    ? read.object().flatMap(object -> state.codec().readEntry(object.value()))
                    : Optional.empty();
            if (entry.isPresent()) {
                accept(later, submission, entry.get().runner());
            } else {
                readBackAt(later, submission, later.now().plus(READ_BACK_PAUSE));
            }
        });
    }

    /**
     * Returns whether a call that is made at a time may be over before the submission has to be answered.
     *
     * @param submission The submission.
     * @param at When the call is made.
     * @return {@code true} if it may.
     */
    private static boolean leavesTimeForCall(Submission submission, MonotonicTime at) {
        return at.plus(SHORTEST_CALL).isBefore(submission.deadline());
    }

    /**
     * Runs a job that this node has accepted, or hands it over to the node that is to run it.
     *
     * @param tick The tick.
     * @param submission The submission.
     * @param runner The node that runs the job.
     */
    private void accept(Tick tick, Submission submission, NodeName runner) {
        BatchJob job = submission.job();
        if (!runner.equals(state.membership().self().identity().name())) {
            tick.emit(new PeerEffect.Send(
                    runner,
                    new BatchMessage.HandedOver(job.id().value(), state.codec().writeJob(job))));
            finish(tick, submission, new BatchAnswer.Accepted(), "kept on the platform, handed over to " + runner);
            return;
        }
        if (!state.running().contains(job.id()) && !state.finished().contains(job.id())) {
            ResultLog log = state.log(job.id(), job.items().size(), tick.now());
            state.run(tick, job, log, giveUpTimes.of(job, tick.now()), new KeptTexts());
        }
        finish(tick, submission, new BatchAnswer.Accepted(), "kept on the platform");
    }

    /**
     * Ends an admission.
     *
     * @param tick The tick.
     * @param submission The submission.
     * @param answer The answer.
     * @param reason Why, for logs.
     */
    private void finish(Tick tick, Submission submission, BatchAnswer answer, String reason) {
        state.admitting().remove(submission.job().id());
        reply(tick, submission, answer, reason);
    }

    /**
     * Answers a submission.
     *
     * @param tick The tick.
     * @param submission The submission.
     * @param answer The answer.
     * @param reason Why, for logs.
     */
    private static void reply(Tick tick, Submission submission, BatchAnswer answer, String reason) {
        tick.emit(new BatchEffect.Reply(submission.ticket(), answer));
        tick.decide(Decision.of(
                "batch-admission",
                submission.job().id().value(),
                answer.getClass().getSimpleName(),
                reason));
    }

    /**
     * Creates an object.
     *
     * @param tick The tick.
     * @param submission The submission that it is created for.
     * @param key The key.
     * @param value The value.
     * @param then What follows the answer.
     */
    private void create(
            Tick tick, Submission submission, ObjectKey key, Bytes value, BiConsumer<Tick, PlatformEvent> then) {
        state.write(tick, submission.deadline(), key, OptionalLong.empty(), value, then);
    }

    /**
     * Creates the answer that nothing of a job runs, or that this is not known where an earlier submission of the job
     * may have been accepted.
     *
     * @param submission The submission.
     * @param reason The reason, for logs.
     * @return The answer.
     */
    private BatchAnswer notAccepted(Submission submission, String reason) {
        boolean maybeAccepted = submission.writtenBefore()
                || state.index().find(submission.job().id()).isPresent();
        return maybeAccepted ? new BatchAnswer.Unsure(reason) : new BatchAnswer.NotAccepted(reason);
    }

    /**
     * Describes an answer of the platform, for logs.
     *
     * @param event The answer.
     * @return The description.
     */
    private static String describe(PlatformEvent event) {
        return event instanceof PlatformEvent.Unavailable failure
                ? failure.reason()
                : event.getClass().getSimpleName();
    }

    /**
     * An entry that is to be read back.
     *
     * @param submission The submission that it belongs to.
     * @param at When it is read.
     */
    private record ReadBack(Submission submission, MonotonicTime at) {}

    /**
     * A submission.
     *
     * @param ticket The ticket of its call.
     * @param job The job.
     * @param deadline By when it has to be answered.
     * @param writtenBefore Whether an earlier submission had written the job.
     */
    private record Submission(long ticket, BatchJob job, MonotonicTime deadline, boolean writtenBefore) {

        /**
         * Creates a submission of a job of which no earlier one is known.
         *
         * @param ticket The ticket of its call.
         * @param job The job.
         * @param deadline By when it has to be answered.
         */
        private Submission(long ticket, BatchJob job, MonotonicTime deadline) {
            this(ticket, job, deadline, false);
        }

        /**
         * Returns the submission after an earlier one turned out to have written the job.
         *
         * @return The submission.
         */
        private Submission asWrittenBefore() {
            return new Submission(ticket, job, deadline, true);
        }
    }
}
