package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.PlatformPurpose;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/**
 * Starts jobs at this node, with at most one run of a job at a time. A job whose entry this node or the sender of a
 * message has created starts without results. Every other job may have listed results, so they are read before it
 * starts. No job starts under an older configuration than the one under which it was accepted: its route might seem to
 * be missing, or might still lead to another pool.
 */
final class JobLoader implements DecisionSystem {

    /** The delay after a failed claim or load. By its end the index shows the changes of other nodes. */
    private static final Duration FAILURE_DELAY = Duration.ofMillis(600);

    /** The tables of the batch system. */
    private final BatchState state;

    /** Computes the deadlines of jobs. */
    private final JobTimeouts jobTimeouts;

    /** The jobs that are being loaded. */
    private final Set<BatchJobId> loading = new HashSet<>();

    /** The jobs that are ready to run, but were accepted under a later configuration than this node has. */
    private final Map<BatchJobId, PreparedJob> awaitingConfiguration = new LinkedHashMap<>();

    /** The time until which a job that could not be claimed or loaded is skipped. */
    private final Map<BatchJobId, MonotonicTime> excludedUntil = new HashMap<>();

    /**
     * Creates a loader without jobs.
     *
     * @param state The tables of the batch system.
     * @param jobTimeouts Computes the deadlines of jobs.
     */
    JobLoader(BatchState state, JobTimeouts jobTimeouts) {
        this.state = state;
        this.jobTimeouts = jobTimeouts;
    }

    /** Starts the jobs whose configuration has arrived. */
    @Override
    public void run(Tick tick) {
        if (awaitingConfiguration.isEmpty()) {
            return;
        }
        awaitingConfiguration.keySet().removeIf(state.finished()::contains);
        List<PreparedJob> ready = awaitingConfiguration.values().stream()
                .filter(prepared -> state.hasConfigurationOf(prepared.job()))
                .toList();
        for (PreparedJob prepared : ready) {
            awaitingConfiguration.remove(prepared.job().id());
            start(tick, prepared);
        }
    }

    /**
     * Returns whether a job must not be started.
     *
     * @param id The job.
     * @return {@code true} if the job runs at this node, was finished or ended, is being loaded, or waits for its
     *     configuration.
     */
    boolean isStarted(BatchJobId id) {
        return state.running().contains(id)
                || state.finished().contains(id)
                || loading.contains(id)
                || awaitingConfiguration.containsKey(id);
    }

    /**
     * Drops a job that waits for its configuration, as another node runs it.
     *
     * @param id The job.
     */
    void drop(BatchJobId id) {
        awaitingConfiguration.remove(id);
    }

    /**
     * Returns whether a job is currently skipped.
     *
     * @param tick The tick.
     * @param id The job.
     * @return {@code true} if a claim or load failed recently.
     */
    boolean isExcluded(Tick tick, BatchJobId id) {
        MonotonicTime until = excludedUntil.get(id);
        if (until == null) {
            return false;
        }
        if (tick.now().isBefore(until)) {
            return true;
        }
        excludedUntil.remove(id);
        return false;
    }

    /**
     * Skips a job for a while after a failure.
     *
     * @param tick The tick.
     * @param id The job.
     */
    void exclude(Tick tick, BatchJobId id) {
        excludedUntil.put(id, tick.now().plus(FAILURE_DELAY));
    }

    /**
     * Starts a job whose entry has just been created, unless it is already started.
     *
     * @param tick The tick.
     * @param job The job.
     * @param cause Why this node runs it.
     */
    void startCreated(Tick tick, BatchJob job, JobStart cause) {
        if (!isStarted(job.id())) {
            startOnceConfigured(tick, new PreparedJob(job, cause, new StoredTexts(), 0));
        }
    }

    /**
     * Reads a job, its listed results and its stored texts from the platform, and runs the remaining items, unless the
     * job is already started.
     *
     * @param tick The tick.
     * @param id The job.
     * @param cause Why this node runs it.
     */
    void load(Tick tick, BatchJobId id, JobStart cause) {
        if (isStarted(id)) {
            return;
        }
        begin(tick, id, cause);
        state.calls()
                .call(
                        tick,
                        token -> new PlatformEffect.Read(token, PlatformPurpose.BATCH, BatchObjects.job(id)),
                        (later, event) -> {
                            Optional<BatchJob> job = event instanceof PlatformEvent.ObjectRead found
                                    ? found.object()
                                            .flatMap(object -> state.codec().readJob(object.value()))
                                    : Optional.empty();
                            job.ifPresentOrElse(
                                    read -> loadResults(later, read, cause),
                                    () -> fail(later, id, JobTrace.LoadOutcome.JOB_UNREAD));
                        });
    }

    /**
     * Reads the listed results and the stored texts of a job from the platform, and runs the remaining items, unless
     * the job is already started.
     *
     * @param tick The tick.
     * @param job The job.
     * @param cause Why this node runs it.
     */
    void load(Tick tick, BatchJob job, JobStart cause) {
        if (!isStarted(job.id())) {
            begin(tick, job.id(), cause);
            loadResults(tick, job, cause);
        }
    }

    /**
     * Reads a job's listed results from the platform.
     *
     * @param tick The tick.
     * @param job The job.
     * @param cause Why this node runs it.
     */
    private void loadResults(Tick tick, BatchJob job, JobStart cause) {
        BatchJobId id = job.id();
        state.calls()
                .call(
                        tick,
                        token -> new PlatformEffect.ListKind(token, PlatformPurpose.BATCH, BatchObjects.results(id)),
                        (later, event) -> {
                            if (!(event instanceof PlatformEvent.ObjectsListed listed)) {
                                fail(later, id, JobTrace.LoadOutcome.RESULTS_UNREAD);
                                return;
                            }
                            ResultLog log = state.log(id, job.items().size(), later.now());
                            state.apply(later, id, log, listed, JobTrace.ReadWay.LOAD);
                            if (log.isComplete()) {
                                end(later, id, JobTrace.LoadOutcome.COMPLETE);
                                state.finished().add(id);
                                return;
                            }
                            loadTexts(later, job, cause, Optional.empty(), new StoredTexts());
                        });
    }

    /**
     * Reads the texts that an earlier runner stored on the platform, page by page, and runs the job.
     *
     * @param tick The tick.
     * @param job The job.
     * @param cause Why this node runs it.
     * @param after The name after which the next page starts, or empty for the first page.
     * @param texts The texts read so far.
     */
    private void loadTexts(Tick tick, BatchJob job, JobStart cause, Optional<String> after, StoredTexts texts) {
        String kind = BatchObjects.texts(job.id());
        state.calls()
                .call(
                        tick,
                        token -> new PlatformEffect.ListKind(token, PlatformPurpose.BATCH, kind, after, false),
                        (later, event) -> {
                            List<StoredObject> objects =
                                    event instanceof PlatformEvent.ObjectsListed listed ? listed.objects() : List.of();
                            objects.forEach(object -> state.codec()
                                    .readTexts(object.value())
                                    .ifPresent(
                                            parts -> texts.addAll(object.key().name(), parts)));
                            boolean more = event instanceof PlatformEvent.ObjectsListed listed && listed.more();
                            Optional<String> last = objects.isEmpty()
                                    ? after
                                    : Optional.of(objects.get(objects.size() - 1)
                                            .key()
                                            .name());
                            if (more && !objects.isEmpty()) {
                                loadTexts(later, job, cause, last, texts);
                            } else {
                                finish(later, job, cause, texts, last);
                            }
                        });
    }

    /**
     * Runs a job that has been read, unless it was ended meanwhile.
     *
     * @param tick The tick.
     * @param job The job.
     * @param cause Why this node runs it.
     * @param texts The texts that an earlier runner stored.
     * @param lastTextObject The name of the last object with texts that an earlier runner stored, if there is one.
     */
    private void finish(Tick tick, BatchJob job, JobStart cause, StoredTexts texts, Optional<String> lastTextObject) {
        boolean ended = state.finished().contains(job.id());
        end(tick, job.id(), ended ? JobTrace.LoadOutcome.SUPERSEDED : JobTrace.LoadOutcome.STARTS);
        if (ended) {
            return;
        }
        int last = lastTextObject
                .map(BatchObjects::number)
                .orElseGet(OptionalInt::empty)
                .orElse(-1);
        startOnceConfigured(tick, new PreparedJob(job, cause, texts, last + 1));
    }

    /**
     * Runs a job, or retains it until this node has the configuration under which the job was accepted.
     *
     * @param tick The tick.
     * @param prepared The job.
     */
    private void startOnceConfigured(Tick tick, PreparedJob prepared) {
        BatchJob job = prepared.job();
        if (state.hasConfigurationOf(job)) {
            start(tick, prepared);
            return;
        }
        awaitingConfiguration.put(job.id(), prepared);
        state.trace().awaitsConfiguration(tick, job, state.routes().active(), prepared.cause());
    }

    /**
     * Runs a job.
     *
     * @param tick The tick.
     * @param prepared The job.
     */
    private void start(Tick tick, PreparedJob prepared) {
        BatchJob job = prepared.job();
        ResultLog log = state.log(job.id(), job.items().size(), tick.now());
        state.run(tick, job, log, jobTimeouts.deadline(job, tick.now()), prepared.texts(), prepared.cause())
                .skipTextObjects(prepared.nextTextObject());
    }

    /**
     * Begins a load.
     *
     * @param tick The tick.
     * @param id The job.
     * @param cause Why this node runs it.
     */
    private void begin(Tick tick, BatchJobId id, JobStart cause) {
        loading.add(id);
        state.trace().loadBegun(tick, id, cause, state.logs().find(id));
    }

    /**
     * Ends a load whose job or results could not be read.
     *
     * @param tick The tick.
     * @param id The job.
     * @param outcome What could not be read.
     */
    private void fail(Tick tick, BatchJobId id, JobTrace.LoadOutcome outcome) {
        end(tick, id, outcome);
        exclude(tick, id);
    }

    /**
     * Ends a load.
     *
     * @param tick The tick.
     * @param id The job.
     * @param outcome The outcome, for logs.
     */
    private void end(Tick tick, BatchJobId id, JobTrace.LoadOutcome outcome) {
        loading.remove(id);
        state.trace().loadEnded(tick, id, outcome, state.logs().find(id));
    }

    /**
     * A job that is ready to run.
     *
     * @param job The job.
     * @param cause Why this node runs it.
     * @param texts The texts that an earlier runner stored.
     * @param nextTextObject The number of the next object with texts.
     */
    private record PreparedJob(BatchJob job, JobStart cause, StoredTexts texts, int nextTextObject) {}
}
