package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.platform.ObjectKey;
import io.yuccaswitch.core.platform.PlatformCalls;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.PlatformPurpose;
import io.yuccaswitch.core.quarantine.Quarantine;
import io.yuccaswitch.core.quarantine.QuarantineCheck;
import io.yuccaswitch.core.registry.EndpointRegistrySystem;
import io.yuccaswitch.core.route.Route;
import io.yuccaswitch.core.route.RouteConfigurationSystem;
import io.yuccaswitch.core.time.MonotonicTime;
import io.yuccaswitch.core.value.Bytes;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * The tables that the subsystems of the batch system share.
 *
 * @param membership The nodes of the site.
 * @param registry The engines.
 * @param routes The configuration of routes.
 * @param codec Encodes and decodes the values that are stored on the platform.
 * @param calls The platform calls that wait for answers.
 * @param index The jobs of the site.
 * @param admitting The jobs whose admission is in progress at this node, with the ticket of the call.
 * @param running The jobs that this node runs.
 * @param runs The number of times that this node has started each job.
 * @param finished The jobs that this node completed, or that were ended.
 * @param logs This node's copies of the listed results.
 * @param loads The number of items that run at each engine.
 * @param rates The event rates of the engines.
 * @param speeds The slowdowns of engines, from the readings of this node and the reports of others.
 * @param scoringLoads Chooses the endpoints of scoring requests.
 * @param lengths Estimates the output lengths of items.
 * @param remoteLoads The engine loads reported by other nodes that run jobs.
 * @param notices The engines that are about to load versions.
 * @param quarantine The endpoints that ended recently, which items report and spare.
 * @param options The optional decisions that the settings of the node ask for.
 * @param trace Records from which results jobs start, and which results are read and listed.
 */
record BatchState(
        MembershipView membership,
        EndpointRegistrySystem registry,
        RouteConfigurationSystem routes,
        BatchCodec codec,
        PlatformCalls calls,
        BatchIndex index,
        Map<BatchJobId, Long> admitting,
        EntityTable<BatchJobId, RunningJob> running,
        Map<BatchJobId, Integer> runs,
        Set<BatchJobId> finished,
        EntityTable<BatchJobId, ResultLog> logs,
        EngineLoads loads,
        EngineRates rates,
        EngineSpeeds speeds,
        ScoringLoads scoringLoads,
        LengthEstimates lengths,
        RemoteRunnerLoads remoteLoads,
        LoadNotices notices,
        QuarantineCheck quarantine,
        SchedulingOptions options,
        JobTrace trace) {

    /** The maximum size of the outputs in the cached logs, in bytes. Evicted logs are read from the platform again. */
    private static final long MAXIMUM_LOG_BYTES = 6L << 20;

    /**
     * The difference between the attempt numbers of two runs of a job at this node, so that the end of an attempt of an
     * earlier run is never taken for the end of one of a later run.
     */
    private static final int MAXIMUM_ATTEMPTS_PER_RUN = 10_000;

    /**
     * Creates empty tables.
     *
     * @param membership The nodes of the site.
     * @param registry The engines.
     * @param routes The configuration of routes.
     * @param codec Encodes and decodes the values that are stored on the platform.
     * @param calls The platform calls that wait for answers.
     * @param index The jobs of the site.
     * @param quarantine The state of requests that may have caused endpoints to end.
     * @param options The optional decisions that the settings of the node ask for.
     * @return The tables.
     */
    static BatchState empty(
            MembershipView membership,
            EndpointRegistrySystem registry,
            RouteConfigurationSystem routes,
            BatchCodec codec,
            PlatformCalls calls,
            BatchIndex index,
            Quarantine quarantine,
            SchedulingOptions options) {
        EngineRates rates = new EngineRates();
        RemoteRunnerLoads remoteLoads = new RemoteRunnerLoads();
        return new BatchState(
                membership,
                registry,
                routes,
                codec,
                calls,
                index,
                new HashMap<>(),
                new EntityTable<>(),
                new HashMap<>(),
                new HashSet<>(),
                new EntityTable<>(),
                new EngineLoads(),
                rates,
                new EngineSpeeds(rates, remoteLoads),
                new ScoringLoads(membership.self()),
                new LengthEstimates(),
                remoteLoads,
                new LoadNotices(),
                new QuarantineCheck(quarantine),
                options,
                new JobTrace(membership));
    }

    /**
     * Creates an object on the platform, or replaces one that still has the expected version.
     *
     * @param tick The tick.
     * @param key The key of the object.
     * @param expected The version that the object must have, or empty if the object must not exist.
     * @param value The value.
     * @param callback The callback for the answer.
     */
    void write(Tick tick, ObjectKey key, OptionalLong expected, Bytes value, BiConsumer<Tick, PlatformEvent> callback) {
        calls.call(
                tick, token -> new PlatformEffect.Write(token, PlatformPurpose.BATCH, key, expected, value), callback);
    }

    /**
     * Creates an object on the platform, or replaces one that still has the expected version, for a caller that waits.
     *
     * @param tick The tick.
     * @param deadline The time by which the write must finish.
     * @param key The key of the object.
     * @param expected The version that the object must have, or empty if the object must not exist.
     * @param value The value.
     * @param callback The callback for the answer, or for an expired deadline.
     */
    void write(
            Tick tick,
            MonotonicTime deadline,
            ObjectKey key,
            OptionalLong expected,
            Bytes value,
            BiConsumer<Tick, PlatformEvent> callback) {
        calls.call(
                tick,
                deadline,
                token -> new PlatformEffect.Write(token, PlatformPurpose.BATCH, key, expected, value),
                callback);
    }

    /**
     * Reads an object on the platform, for a caller that waits.
     *
     * @param tick The tick.
     * @param deadline The time by which the read must finish.
     * @param key The key of the object.
     * @param callback The callback for the answer, or for an expired deadline.
     */
    void read(Tick tick, MonotonicTime deadline, ObjectKey key, BiConsumer<Tick, PlatformEvent> callback) {
        calls.call(tick, deadline, token -> new PlatformEffect.Read(token, PlatformPurpose.BATCH, key), callback);
    }

    /**
     * Returns the log of a job, and creates it if there is none.
     *
     * @param id The job.
     * @param total The number of its items.
     * @param now The current time.
     * @return The log.
     */
    ResultLog log(BatchJobId id, int total, MonotonicTime now) {
        Optional<ResultLog> existing = logs.find(id);
        if (existing.isPresent()) {
            return existing.get();
        }
        ResultLog log = new ResultLog(id, total, now);
        logs.put(id, log);
        return log;
    }

    /**
     * Appends the results of a listed object to a log, unless a reader has already added them. Their items no longer
     * need to run at this node.
     *
     * @param tick The tick.
     * @param id The job.
     * @param log The log.
     * @param number The number of the object.
     * @param results The results.
     * @return Whether the results were appended.
     */
    boolean append(Tick tick, BatchJobId id, ResultLog log, int number, List<BatchResult> results) {
        boolean next = log.objects() == number;
        if (next) {
            log.append(results);
        }
        removeListed(tick, id, results);
        return next;
    }

    /**
     * Appends listed or changed objects to a log. The items of the appended results no longer need to run at this node.
     *
     * @param tick The tick.
     * @param id The job.
     * @param log The log.
     * @param listed The objects.
     * @param way How they were read.
     */
    void apply(Tick tick, BatchJobId id, ResultLog log, PlatformEvent.ObjectsListed listed, JobTrace.ReadWay way) {
        JobTrace.Extent before = JobTrace.Extent.of(log);
        List<BatchResult> appended = log.apply(listed.objects(), listed.version(), codec);
        trace.read(tick, log, before, listed.objects(), way);
        removeListed(tick, id, appended);
    }

    /**
     * Evicts the least recently used logs while the outputs exceed the memory limit.
     *
     * @param tick The tick.
     */
    void evictLogs(Tick tick) {
        long bytes = logs.view().stream().mapToLong(ResultLog::bytes).sum();
        if (bytes <= MAXIMUM_LOG_BYTES) {
            return;
        }
        List<ResultLog> oldestFirst = logs.rows().stream()
                .sorted(Comparator.comparing(ResultLog::lastUsedAt))
                .toList();
        for (ResultLog log : oldestFirst) {
            if (bytes <= MAXIMUM_LOG_BYTES) {
                return;
            }
            if (logs.removeIf(candidate -> candidate == log && !isRunning(candidate))) {
                bytes -= log.bytes();
                trace.evicted(tick, log);
            }
        }
    }

    /**
     * Starts running a job.
     *
     * @param tick The tick.
     * @param job The job.
     * @param log The results that are already listed.
     * @param deadline The deadline of the job.
     * @param texts The texts that an earlier runner stored.
     * @param start Why this node runs it.
     * @return The running job.
     */
    RunningJob run(Tick tick, BatchJob job, ResultLog log, MonotonicTime deadline, StoredTexts texts, JobStart start) {
        int earlierRuns = runs.merge(job.id(), 1, Integer::sum) - 1;
        int attemptBase = earlierRuns * MAXIMUM_ATTEMPTS_PER_RUN;
        RunningJob started = new RunningJob(job, log, tick.now(), deadline, attemptBase);
        long resumed = texts.all().entrySet().stream()
                .filter(text -> started.resume(text.getKey(), text.getValue()))
                .count();
        running.put(job.id(), started);
        trace.started(tick, started, log, start, texts.all().size(), resumed);
        return started;
    }

    /**
     * Stops running a job and cancels its items.
     *
     * @param tick The tick.
     * @param id The job.
     * @param reason The reason.
     */
    void stop(Tick tick, BatchJobId id, String reason) {
        Optional<RunningJob> job = running.remove(id);
        if (job.isEmpty()) {
            return;
        }
        int cancelled = 0;
        for (RunningItem item : job.get().items()) {
            cancelled += cancel(tick, id, item) ? 1 : 0;
        }
        trace.stopped(tick, job.get(), logs.find(id), reason, cancelled);
    }

    /**
     * Cancels the work in progress for an item: the attempt at an engine, or the attempts to score its output.
     *
     * @param tick The tick.
     * @param id The job.
     * @param item The item.
     * @return Whether an attempt at an engine was in progress.
     */
    boolean cancel(Tick tick, BatchJobId id, RunningItem item) {
        cancelScoring(tick, id, item);
        Optional<EngineLoads.Load> load = item.stop();
        load.ifPresent(ended -> {
            tick.emit(new BatchEffect.Cancel(id, item.item().id(), item.attempt()));
            loads.end(ended);
        });
        return load.isPresent();
    }

    /**
     * Cancels an attempt so that its item resumes at another engine. The end of the attempt then supplies the received
     * events.
     *
     * @param tick The tick.
     * @param job The job.
     * @param item The item.
     * @param reason Why the item leaves the engine, for logs.
     */
    void move(Tick tick, RunningJob job, RunningItem item, String reason) {
        item.move();
        tick.emit(new BatchEffect.Cancel(job.job().id(), item.item().id(), item.attempt()));
        tick.decide(Decision.of("batch-item", item.item().id(), "move", reason));
    }

    /**
     * Cancels the attempts to score an item's output.
     *
     * @param tick The tick.
     * @param id The job.
     * @param item The item.
     */
    void cancelScoring(Tick tick, BatchJobId id, RunningItem item) {
        List<ItemScoring.Attempt> ended =
                item.scoring().map(ItemScoring::endAll).orElseGet(List::of);
        for (ItemScoring.Attempt attempt : ended) {
            tick.emit(new BatchEffect.CancelScoring(id, item.item().id(), attempt.number()));
            scoringLoads.end(attempt.endpoint());
        }
    }

    /**
     * Finds the body of an item of a job that runs at this node.
     *
     * @param id The job.
     * @param item The item.
     * @return The body, or empty if the job does not run at this node or has no such item.
     */
    Optional<Bytes> body(BatchJobId id, String item) {
        return running.find(id).flatMap(job -> job.job().find(item)).map(BatchItem::body);
    }

    /**
     * Returns the other nodes that run jobs, according to this node's state.
     *
     * @return The nodes.
     */
    Set<NodeName> otherRunners() {
        Set<NodeName> others = new HashSet<>(remoteLoads.nodes());
        index.open().forEach(row -> others.add(row.entry().runner()));
        others.remove(membership.self().identity().name());
        return others;
    }

    /**
     * Returns the item of an attempt in progress.
     *
     * @param progress The attempt's progress.
     * @return The item, or empty if the attempt is not the current one.
     */
    Optional<RunningItem> current(BatchEvent.Progress progress) {
        return running.find(progress.id())
                .flatMap(job -> job.find(progress.item()))
                .filter(item -> item.isCurrent(progress.attempt()));
    }

    /**
     * Returns the current route of a job.
     *
     * @param job A job whose configuration this node has.
     * @return The route, or empty if it no longer exists.
     */
    Optional<Route> route(BatchJob job) {
        return routes.find(job.host(), job.path());
    }

    /**
     * Returns whether this node's configuration is at least as recent as the one under which a job was accepted. Until
     * then, a route that the node lacks may be one that it does not know yet, and one that it has may have changed.
     *
     * @param job The job.
     * @return {@code true} if the node's routes apply to the job.
     */
    boolean hasConfigurationOf(BatchJob job) {
        return routes.active()
                .filter(configuration -> configuration.version() >= job.configurationVersion())
                .isPresent();
    }

    /**
     * Processes listed results: their items no longer need to run at this node.
     *
     * @param tick The tick.
     * @param id The job.
     * @param listed The results.
     */
    void removeListed(Tick tick, BatchJobId id, List<BatchResult> listed) {
        Optional<RunningJob> job = running.find(id);
        if (job.isEmpty()) {
            return;
        }
        for (BatchResult result : listed) {
            job.get().find(result.item()).ifPresent(item -> cancel(tick, id, item));
        }
        job.get().removeListed(listed);
        Optional<ResultLog> complete = logs.find(id).filter(ResultLog::isComplete);
        if (complete.isPresent()) {
            running.remove(id);
            finished.add(id);
            trace.finished(tick, complete.get());
        }
    }

    /**
     * Returns whether a log belongs to a job that runs at this node.
     *
     * @param log The log.
     * @return {@code true} if it does.
     */
    private boolean isRunning(ResultLog log) {
        return running.view().stream()
                .anyMatch(job ->
                        logs.find(job.job().id()).filter(own -> own == log).isPresent());
    }
}
