package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.EndpointName;
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
 * The tables that the parts of the batch system share.
 *
 * @param membership The nodes of the site.
 * @param registry The engines.
 * @param routes The configuration of routes.
 * @param codec Writes and reads what is kept on the platform.
 * @param calls The calls to the platform that wait for their answers.
 * @param index The jobs of the site.
 * @param admitting The jobs whose admission is in progress here, with the ticket that is answered.
 * @param running The jobs that this node runs.
 * @param finished The jobs that this node ran to their ends, or that were ended.
 * @param logs The results that are listed, as far as they are known here.
 * @param loads How many items run at each engine.
 * @param rates How fast the engines are.
 * @param scoringLoads Chooses the endpoints of scoring requests.
 * @param runners What other nodes that run jobs have at the engines.
 * @param quarantine Keeps items under which engines ended away from further ones.
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
        Set<BatchJobId> finished,
        EntityTable<BatchJobId, ResultLog> logs,
        EngineLoads loads,
        EngineRates rates,
        ScoringLoads scoringLoads,
        OtherRunners runners,
        QuarantineCheck quarantine) {

    /** The largest size of the outputs that are kept here, in bytes. Others are read from the platform again. */
    private static final long LOG_BYTES = 6L << 20;

    /**
     * Creates empty tables.
     *
     * @param membership The nodes of the site.
     * @param registry The engines.
     * @param routes The configuration of routes.
     * @param codec Writes and reads what is kept on the platform.
     * @param calls The calls to the platform that wait for their answers.
     * @param index The jobs of the site.
     * @param quarantine What is known of requests under which endpoints ended.
     * @return The tables.
     */
    static BatchState empty(
            MembershipView membership,
            EndpointRegistrySystem registry,
            RouteConfigurationSystem routes,
            BatchCodec codec,
            PlatformCalls calls,
            BatchIndex index,
            Quarantine quarantine) {
        return new BatchState(
                membership,
                registry,
                routes,
                codec,
                calls,
                index,
                new HashMap<>(),
                new EntityTable<>(),
                new HashSet<>(),
                new EntityTable<>(),
                new EngineLoads(),
                new EngineRates(),
                new ScoringLoads(membership.self()),
                new OtherRunners(),
                new QuarantineCheck(quarantine));
    }

    /**
     * Creates an object on the platform, or replaces one as it was last seen.
     *
     * @param tick The tick.
     * @param key The key of the object.
     * @param expected The version that the object must have, or empty if there must be none.
     * @param value The value.
     * @param then What follows the answer.
     */
    void write(Tick tick, ObjectKey key, OptionalLong expected, Bytes value, BiConsumer<Tick, PlatformEvent> then) {
        calls.call(tick, token -> new PlatformEffect.Write(token, PlatformPurpose.BATCH, key, expected, value), then);
    }

    /**
     * Creates an object on the platform, or replaces one as it was last seen, for a caller who waits.
     *
     * @param tick The tick.
     * @param deadline By when the write has to be over.
     * @param key The key of the object.
     * @param expected The version that the object must have, or empty if there must be none.
     * @param value The value.
     * @param then What follows the answer, or the deadline.
     */
    void write(
            Tick tick,
            MonotonicTime deadline,
            ObjectKey key,
            OptionalLong expected,
            Bytes value,
            BiConsumer<Tick, PlatformEvent> then) {
        calls.call(
                tick,
                deadline,
                token -> new PlatformEffect.Write(token, PlatformPurpose.BATCH, key, expected, value),
                then);
    }

    /**
     * Reads an object on the platform, for a caller who waits.
     *
     * @param tick The tick.
     * @param deadline By when the read has to be over.
     * @param key The key of the object.
     * @param then What follows the answer, or the deadline.
     */
    void read(Tick tick, MonotonicTime deadline, ObjectKey key, BiConsumer<Tick, PlatformEvent> then) {
        calls.call(tick, deadline, token -> new PlatformEffect.Read(token, PlatformPurpose.BATCH, key), then);
    }

    /**
     * Returns the log of a job, which is created where none is known.
     *
     * @param id The job.
     * @param total The number of its items.
     * @param now The present.
     * @return The log.
     */
    ResultLog log(BatchJobId id, int total, MonotonicTime now) {
        Optional<ResultLog> known = logs.find(id);
        if (known.isPresent()) {
            return known.get();
        }
        ResultLog log = new ResultLog(total, now);
        logs.put(id, log);
        return log;
    }

    /** Forgets the logs that were not used for longest, as long as the outputs take too much memory. */
    void trimLogs() {
        long bytes = logs.view().stream().mapToLong(ResultLog::bytes).sum();
        if (bytes <= LOG_BYTES) {
            return;
        }
        List<ResultLog> oldestFirst = logs.rows().stream()
                .sorted(Comparator.comparing(ResultLog::usedAt))
                .toList();
        for (ResultLog log : oldestFirst) {
            if (bytes <= LOG_BYTES) {
                return;
            }
            if (logs.removeIf(candidate -> candidate == log && !isRunning(candidate))) {
                bytes -= log.bytes();
            }
        }
    }

    /**
     * Starts to run a job.
     *
     * @param tick The tick.
     * @param job The job.
     * @param log The results that are listed already.
     * @param giveUpAt When the job is given up.
     * @param texts The texts that an earlier runner has kept.
     */
    void run(Tick tick, BatchJob job, ResultLog log, MonotonicTime giveUpAt, KeptTexts texts) {
        RunningJob started = new RunningJob(job, log, tick.now(), giveUpAt);
        long resumed = texts.all().entrySet().stream()
                .filter(text -> started.resume(text.getKey(), text.getValue()))
                .count();
        running.put(job.id(), started);
        tick.decide(Decision.of(
                "batch-job",
                job.id().value(),
                "run here",
                "model " + job.model() + " minimum version " + job.minimumVersion() + " items "
                        + job.items().size() + " listed " + log.size() + " with events " + resumed));
    }

    /**
     * Stops running a job and breaks off its items.
     *
     * @param tick The tick.
     * @param id The job.
     * @param reason Why.
     */
    void stop(Tick tick, BatchJobId id, String reason) {
        Optional<RunningJob> job = running.remove(id);
        if (job.isEmpty()) {
            return;
        }
        int broken = 0;
        for (RunningItem item : job.get().items()) {
            broken += breakOff(tick, id, item) ? 1 : 0;
        }
        tick.decide(Decision.of("batch-job", id.value(), "stop here", reason + ", items broken off " + broken));
    }

    /**
     * Breaks off what is in progress for an item: the attempt at an engine, or those to score its output.
     *
     * @param tick The tick.
     * @param id The job.
     * @param item The item.
     * @return Whether an attempt at an engine was in progress.
     */
    boolean breakOff(Tick tick, BatchJobId id, RunningItem item) {
        breakOffScoring(tick, id, item);
        Optional<EndpointName> engine = item.stop();
        engine.ifPresent(running -> {
            tick.emit(new BatchEffect.Cancel(id, item.item().id(), item.attempt()));
            loads.end(running);
        });
        return engine.isPresent();
    }

    /**
     * Breaks off an attempt such that its item goes on elsewhere. The end of the attempt then brings the events that
     * arrived.
     *
     * @param tick The tick.
     * @param job The job.
     * @param item The item.
     * @param reason Why the engine is left, for logs.
     */
    void move(Tick tick, RunningJob job, RunningItem item, String reason) {
        item.move();
        tick.emit(new BatchEffect.Cancel(job.job().id(), item.item().id(), item.attempt()));
        tick.decide(Decision.of("batch-item", item.item().id(), "move", reason));
    }

    /**
     * Breaks off the attempts to score an item's output.
     *
     * @param tick The tick.
     * @param id The job.
     * @param item The item.
     */
    void breakOffScoring(Tick tick, BatchJobId id, RunningItem item) {
        List<ItemScoring.Attempt> ended =
                item.scoring().map(ItemScoring::endAll).orElseGet(List::of);
        for (ItemScoring.Attempt attempt : ended) {
            tick.emit(new BatchEffect.CancelScoring(id, item.item().id(), attempt.number()));
            scoringLoads.end(attempt.endpoint());
        }
    }

    /**
     * Finds the body of an item of a job that runs here.
     *
     * @param id The job.
     * @param item The item.
     * @return The body, or empty if the job does not run here or has no such item.
     */
    Optional<Bytes> body(BatchJobId id, String item) {
        return running.find(id).flatMap(job -> job.job().find(item)).map(BatchItem::body);
    }

    /**
     * Returns the other nodes that run jobs, as far as this one knows.
     *
     * @return The nodes.
     */
    Set<NodeName> otherRunners() {
        Set<NodeName> others = new HashSet<>(runners.nodes());
        index.open().forEach(row -> others.add(row.entry().runner()));
        others.remove(membership.self().identity().name());
        return others;
    }

    /**
     * Returns the route of a job as it is now.
     *
     * @param job The job.
     * @return The route, or empty if there is none any more.
     */
    Optional<Route> route(BatchJob job) {
        return routes.find(job.host(), job.path());
    }

    /**
     * Takes note of results that are listed: their items need not run here any more.
     *
     * @param tick The tick.
     * @param id The job.
     * @param listed The results.
     */
    void drop(Tick tick, BatchJobId id, List<BatchResult> listed) {
        Optional<RunningJob> job = running.find(id);
        if (job.isEmpty()) {
            return;
        }
        for (BatchResult result : listed) {
            job.get().find(result.item()).ifPresent(item -> breakOff(tick, id, item));
        }
        job.get().drop(listed);
        boolean complete = logs.find(id).filter(ResultLog::isComplete).isPresent();
        if (complete) {
            running.remove(id);
            finished.add(id);
            tick.decide(Decision.of("batch-job", id.value(), "finished", "all results are listed"));
        }
    }

    /**
     * Returns whether a log belongs to a job that runs here.
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
