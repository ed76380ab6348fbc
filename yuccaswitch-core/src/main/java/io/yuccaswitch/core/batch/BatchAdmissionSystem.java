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
 * Accepts batch jobs: writes the job, then its index entry, each by a conditional creation. The creation of the entry
 * accepts the job, so a job without an entry never runs.
 */
final class BatchAdmissionSystem implements DecisionSystem {

    /** The delay between two reads of an entry whose creation was not answered. */
    private static final Duration READ_BACK_DELAY = Duration.ofMillis(150);

    /** The minimum time that must remain for a further call: several times the duration of a platform call. */
    private static final Duration MINIMUM_CALL_TIME = Duration.ofMillis(50);

    /** The tables of the batch system. */
    private final BatchState state;

    /** Starts jobs. */
    private final JobLoader loader;

    /** Chooses the node that runs a job. */
    private final RunnerChoice runnerChoice;

    /** The entries that have to be read back. */
    private final List<ReadBack> readBacks = new ArrayList<>();

    /**
     * Creates a system without submissions.
     *
     * @param state The tables of the batch system.
     * @param loader Starts jobs.
     * @param runnerChoice Chooses the node that runs a job.
     */
    BatchAdmissionSystem(BatchState state, JobLoader loader, RunnerChoice runnerChoice) {
        this.state = state;
        this.loader = loader;
        this.runnerChoice = runnerChoice;
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
     * Starts the admission of a job.
     *
     * @param tick The tick.
     * @param submission The submission.
     */
    private void submit(Tick tick, Submission submission) {
        BatchJobId id = submission.job().id();
        Optional<RunningJob> runningHere = state.running().find(id);
        if (runningHere.isPresent()) {
            boolean same = runningHere.get().job().hasSameContent(submission.job());
            reply(
                    tick,
                    submission,
                    same ? new BatchAnswer.Accepted() : new BatchAnswer.Mismatch(),
                    "the job runs at this node");
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
                compareWithStored(later, submission, conflict.current());
            } else {
                finish(later, submission, notAccepted(submission, "the job was not stored"), describe(event));
            }
        });
    }

    /**
     * Continues the admission of a job that is already stored.
     *
     * @param tick The tick.
     * @param submission The submission.
     * @param current The stored object, if the platform returned it.
     */
    private void compareWithStored(Tick tick, Submission submission, Optional<StoredObject> current) {
        Optional<BatchJob> written = current.flatMap(object -> state.codec().readJob(object.value()));
        if (written.isPresent() && !written.get().hasSameContent(submission.job())) {
            finish(tick, submission, new BatchAnswer.Mismatch(), "the identifier belongs to a different job");
            return;
        }
        createEntry(tick, submission.asWrittenBefore(written.orElseGet(submission::job)));
    }

    /**
     * Creates the entry that accepts the job.
     *
     * @param tick The tick.
     * @param submission The submission.
     */
    private void createEntry(Tick tick, Submission submission) {
        if (!hasTimeForCall(submission, tick.now())) {
            finish(
                    tick,
                    submission,
                    notAccepted(submission, "the entry was not written"),
                    "no time left for a further call");
            return;
        }
        BatchJob job = submission.job();
        BatchIndexEntry entry = new BatchIndexEntry(
                job.id(), runnerChoice.choose(job), false, job.items().size(), job.model());
        create(tick, submission, BatchObjects.index(job.id()), state.codec().writeEntry(entry), (later, event) -> {
            if (event instanceof PlatformEvent.Accepted) {
                accept(later, submission, entry.runner(), JobStart.Cause.SUBMITTED);
            } else if (event instanceof PlatformEvent.Conflict) {
                finish(later, submission, new BatchAnswer.Accepted(), "accepted before");
            } else if (event instanceof PlatformEvent.Unavailable failure && failure.maybeApplied()) {
                readBackAt(later, submission, later.now());
            } else {
                finish(later, submission, notAccepted(submission, "the entry was not stored"), describe(event));
            }
        });
    }

    /**
     * Schedules reading back an entry, unless its submission has to be answered before. If the entry was created after
     * all, its runner then finds it in the index.
     *
     * @param tick The tick.
     * @param submission The submission.
     * @param at When the entry is read.
     */
    private void readBackAt(Tick tick, Submission submission, MonotonicTime at) {
        if (hasTimeForCall(submission, at)) {
            readBacks.add(new ReadBack(submission, at));
        } else {
            BatchAnswer answer = new BatchAnswer.Unsure("the platform did not answer");
            finish(tick, submission, answer, "the entry may have been created");
        }
    }

    /**
     * Determines whether an entry was created although its creation was not answered.
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
                accept(later, submission, entry.get().runner(), JobStart.Cause.READ_BACK);
            } else {
                readBackAt(later, submission, later.now().plus(READ_BACK_DELAY));
            }
        });
    }

    /**
     * Returns whether a call that is made at the given time can finish before the submission has to be answered.
     *
     * @param submission The submission.
     * @param at When the call is made.
     * @return {@code true} if it can.
     */
    private static boolean hasTimeForCall(Submission submission, MonotonicTime at) {
        return at.plus(MINIMUM_CALL_TIME).isBefore(submission.deadline());
    }

    /**
     * Runs a job that this node has accepted, or hands it over to its runner.
     *
     * @param tick The tick.
     * @param submission The submission.
     * @param runner The node that runs the job.
     * @param cause Why this node starts the job if it is the runner. If its entry was read back, an earlier submission
     *     may have created it, and the job may have listed results.
     */
    private void accept(Tick tick, Submission submission, NodeName runner, JobStart.Cause cause) {
        BatchJob job = submission.job();
        boolean created = cause == JobStart.Cause.SUBMITTED;
        if (!runner.equals(state.membership().self().identity().name())) {
            tick.emit(new PeerEffect.Send(
                    runner,
                    new BatchMessage.HandedOver(job.id().value(), state.codec().writeJob(job), created)));
            finish(tick, submission, new BatchAnswer.Accepted(), "stored on the platform, handed over to " + runner);
            return;
        }
        if (created) {
            loader.startCreated(tick, job, JobStart.of(cause));
        } else {
            loader.load(tick, job, JobStart.of(cause));
        }
        finish(tick, submission, new BatchAnswer.Accepted(), "stored on the platform");
    }

    /**
     * Ends an admission.
     *
     * @param tick The tick.
     * @param submission The submission.
     * @param answer The answer.
     * @param reason The reason, for logs.
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
     * @param reason The reason, for logs.
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
     * @param submission The submission that requires the object.
     * @param key The key.
     * @param value The value.
     * @param callback The callback for the answer.
     */
    private void create(
            Tick tick, Submission submission, ObjectKey key, Bytes value, BiConsumer<Tick, PlatformEvent> callback) {
        state.write(tick, submission.deadline(), key, OptionalLong.empty(), value, callback);
    }

    /**
     * Creates the answer that no part of a job runs, or that this is unknown because an earlier submission of the job
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
     * Describes an answer of the platform for logs.
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
     * An entry that has to be read back.
     *
     * @param submission The submission that it belongs to.
     * @param at When the entry is read.
     */
    private record ReadBack(Submission submission, MonotonicTime at) {}

    /**
     * A submission.
     *
     * @param ticket The ticket of its call.
     * @param job The job.
     * @param deadline The time by which it must be answered.
     * @param writtenBefore Whether an earlier submission had written the job.
     */
    private record Submission(long ticket, BatchJob job, MonotonicTime deadline, boolean writtenBefore) {

        /**
         * Creates a submission of a job without a known earlier submission.
         *
         * @param ticket The ticket of its call.
         * @param job The job.
         * @param deadline The time by which it must be answered.
         */
        private Submission(long ticket, BatchJob job, MonotonicTime deadline) {
            this(ticket, job, deadline, false);
        }

        /**
         * Returns this submission, marked as one whose job was written by an earlier submission.
         *
         * @param stored The job as the earlier submission wrote it.
         * @return The submission.
         */
        private Submission asWrittenBefore(BatchJob stored) {
            return new Submission(ticket, stored, deadline, true);
        }
    }
}
