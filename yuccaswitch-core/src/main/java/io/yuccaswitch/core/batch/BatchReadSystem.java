package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.PlatformPurpose;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Answers calls for results at any node: from the log of a job that runs at this node, otherwise with the results of
 * the job's runner, otherwise from the platform. An empty answer is given only after the platform has been queried.
 */
final class BatchReadSystem implements DecisionSystem {

    /** The maximum wait of one watch for results. */
    private static final Duration MAXIMUM_WATCH_WAIT = Duration.ofSeconds(1);

    /** The minimum wait of a watch. For a shorter time the results are listed instead. */
    private static final Duration MINIMUM_WATCH_WAIT = Duration.ofMillis(100);

    /** How long the index may take to show the runner of a job that another node has just accepted. */
    private static final Duration INDEX_TIMEOUT = Duration.ofMillis(700);

    /** The tables of the batch system. */
    private final BatchState state;

    /** The calls that wait for results, by their tickets. */
    private final EntityTable<Long, BatchEvent.ResultsRequested> waiting = new EntityTable<>();

    /** Queries the runners of jobs. */
    private final RunnerQueries runnerQueries;

    /** The time until which calls wait for the index to show their job's runner, by their tickets. */
    private final Map<Long, MonotonicTime> waitingForIndex = new HashMap<>();

    /** The jobs whose results are being read. */
    private final Set<BatchJobId> reading = new HashSet<>();

    /**
     * Creates a system without calls.
     *
     * @param state The tables of the batch system.
     */
    BatchReadSystem(BatchState state) {
        this.state = state;
        runnerQueries = new RunnerQueries(state.index(), state.membership());
    }

    @Override
    public void run(Tick tick) {
        for (BatchEvent.ResultsRequested request : tick.events(BatchEvent.ResultsRequested.class)) {
            waiting.put(request.ticket(), request);
            begin(tick, request);
        }
        runnerQueries.receive(tick).forEach(answer -> handleRunnerAnswer(tick, answer));
        waiting.rows().forEach(request -> answerIfReady(tick, request));
        state.evictLogs(tick);
    }

    /**
     * Handles the answer of a runner. If the runner has none, the platform is queried.
     *
     * @param tick The tick.
     * @param answer The answer.
     */
    private void handleRunnerAnswer(Tick tick, RunnerQueries.Answer answer) {
        Optional<BatchEvent.ResultsRequested> request = waiting.find(answer.ticket());
        if (request.isEmpty()) {
            return;
        }
        if (answer.answer().isPresent()) {
            reply(tick, request.get(), answer.answer().get());
        } else {
            refresh(tick, request.get().id(), request.get());
        }
    }

    /**
     * Starts answering a call for results.
     *
     * @param tick The tick.
     * @param request The call.
     */
    private void begin(Tick tick, BatchEvent.ResultsRequested request) {
        Optional<ResultLog> log = state.logs().find(request.id());
        log.ifPresent(existing -> existing.touch(tick.now()));
        if (log.isPresent() && (log.get().size() > request.position() || isLocal(request.id(), log.get()))) {
            return;
        }
        if (log.isEmpty()
                && state.index().find(request.id()).isEmpty()
                && tick.now().isBefore(request.until())) {
            waitingForIndex.put(request.ticket(), tick.now().plus(INDEX_TIMEOUT));
            return;
        }
        queryRunner(tick, request);
    }

    /**
     * Requests results from the runner of a job, or from the platform if the runner can't be queried.
     *
     * @param tick The tick.
     * @param request The call.
     */
    private void queryRunner(Tick tick, BatchEvent.ResultsRequested request) {
        waitingForIndex.remove(request.ticket());
        BatchMessage query = new BatchMessage.ReadResults(
                request.ticket(),
                request.id().value(),
                request.position(),
                request.until().since(tick.now()).toMillis());
        if (tick.now().isBefore(request.until()) && runnerQueries.send(tick, request.id(), request.ticket(), query)) {
            return;
        }
        refresh(tick, request.id(), request);
    }

    /**
     * Returns whether this node gets new results without a call for each reader.
     *
     * @param id The job.
     * @param log The log.
     * @return {@code true} if the job runs at this node or the log is complete.
     */
    private boolean isLocal(BatchJobId id, ResultLog log) {
        return log.isComplete() || state.running().contains(id);
    }

    /**
     * Answers a waiting call if there is a result. When its wait ends, the platform is queried before an empty answer
     * is given, because another node may have taken over the job in the meantime.
     *
     * @param tick The tick.
     * @param request The call.
     */
    private void answerIfReady(Tick tick, BatchEvent.ResultsRequested request) {
        Optional<ResultLog> log = state.logs().find(request.id());
        if (log.isPresent()
                && (log.get().size() > request.position() || log.get().isComplete())) {
            reply(tick, request, log.get().page(request.position()));
        } else if (!tick.now().isBefore(request.deadline())) {
            reply(tick, request, new BatchAnswer.Unsure("no answer by the deadline"));
        } else if (isIndexWaitOver(tick, request)) {
            queryRunner(tick, request);
        } else if (!tick.now().isBefore(request.until())) {
            waitingForIndex.remove(request.ticket());
            runnerQueries.forget(request.ticket());
            refresh(tick, request.id(), request);
        }
    }

    /**
     * Returns whether a call no longer has to wait for the index.
     *
     * @param tick The tick.
     * @param request The call.
     * @return {@code true} if the index shows the job's runner, or did not show it in time.
     */
    private boolean isIndexWaitOver(Tick tick, BatchEvent.ResultsRequested request) {
        MonotonicTime until = waitingForIndex.get(request.ticket());
        return until != null
                && (state.index().find(request.id()).isPresent() || !tick.now().isBefore(until));
    }

    /**
     * Reads the results after those in the log of a job, unless a read is in progress.
     *
     * @param tick The tick.
     * @param id The job.
     * @param request The call that needs them.
     */
    private void refresh(Tick tick, BatchJobId id, BatchEvent.ResultsRequested request) {
        if (!reading.add(id)) {
            return;
        }
        Optional<ResultLog> log = state.logs().find(id).or(() -> state.index()
                .find(id)
                .map(row -> state.log(id, row.entry().items(), tick.now())));
        if (log.isEmpty()) {
            readEntry(tick, id);
        } else if (log.get().version().isEmpty() || isLocal(id, log.get())) {
            list(tick, id, log.get());
        } else {
            watch(tick, id, log.get(), request);
        }
    }

    /**
     * Determines whether a job exists, and lists its results if it does.
     *
     * @param tick The tick.
     * @param id The job.
     */
    private void readEntry(Tick tick, BatchJobId id) {
        state.calls()
                .call(
                        tick,
                        token -> new PlatformEffect.Read(token, PlatformPurpose.BATCH, BatchObjects.index(id)),
                        (later, event) -> {
                            if (!(event instanceof PlatformEvent.ObjectRead read)) {
                                failAll(later, id, "the platform did not answer");
                                return;
                            }
                            Optional<BatchIndexEntry> entry = read.object()
                                    .flatMap(object -> state.codec().readEntry(object.value()));
                            if (entry.isEmpty()) {
                                reading.remove(id);
                                replyAll(later, id, new BatchAnswer.Unknown());
                                return;
                            }
                            list(later, id, state.log(id, entry.get().items(), later.now()));
                        });
    }

    /**
     * Lists the objects after those in the log.
     *
     * @param tick The tick.
     * @param id The job.
     * @param log The job's log.
     */
    private void list(Tick tick, BatchJobId id, ResultLog log) {
        Optional<String> after =
                log.objects() == 0 ? Optional.empty() : Optional.of(BatchObjects.name(log.objects() - 1));
        state.calls()
                .call(
                        tick,
                        token -> new PlatformEffect.ListKind(
                                token, PlatformPurpose.BATCH, BatchObjects.results(id), after, false),
                        (later, event) -> receive(later, id, log, event, JobTrace.ReadWay.LIST));
    }

    /**
     * Watches for objects after those in the log.
     *
     * @param tick The tick.
     * @param id The job.
     * @param log The job's log.
     * @param request The call that waits.
     */
    private void watch(Tick tick, BatchJobId id, ResultLog log, BatchEvent.ResultsRequested request) {
        Duration left = request.until().since(tick.now());
        if (left.compareTo(MINIMUM_WATCH_WAIT) < 0) {
            list(tick, id, log);
            return;
        }
        Duration wait = left.compareTo(MAXIMUM_WATCH_WAIT) < 0 ? left : MAXIMUM_WATCH_WAIT;
        OptionalLong version = log.version();
        state.calls()
                .call(
                        tick,
                        token -> new PlatformEffect.Watch(
                                token,
                                PlatformPurpose.BATCH,
                                BatchObjects.results(id),
                                version.orElse(0),
                                Optional.of(wait)),
                        (later, event) -> receive(later, id, log, event, JobTrace.ReadWay.WATCH));
    }

    /**
     * Appends listed or changed objects to the log, and answers the calls that wait for them.
     *
     * @param tick The tick.
     * @param id The job.
     * @param log The job's log.
     * @param event The platform's answer.
     * @param way How the objects were read.
     */
    private void receive(Tick tick, BatchJobId id, ResultLog log, PlatformEvent event, JobTrace.ReadWay way) {
        if (!(event instanceof PlatformEvent.ObjectsListed listed)) {
            failAll(tick, id, "the platform did not answer");
            return;
        }
        if (listed.reset()) {
            log.clearVersion();
            list(tick, id, log);
            return;
        }
        reading.remove(id);
        state.apply(tick, id, log, listed, way);
        for (BatchEvent.ResultsRequested request : waiting.rows()) {
            if (!request.id().equals(id)
                    || (runnerQueries.isWaiting(request.ticket()) && log.size() <= request.position())) {
                continue;
            }
            boolean waits = log.size() <= request.position()
                    && !log.isComplete()
                    && tick.now().isBefore(request.until());
            if (waits && !isLocal(id, log)) {
                refresh(tick, id, request);
            } else if (!waits) {
                reply(tick, request, log.page(request.position()));
            }
        }
    }

    /**
     * Answers all calls for a job that its results are unknown.
     *
     * @param tick The tick.
     * @param id The job.
     * @param reason The reason.
     */
    private void failAll(Tick tick, BatchJobId id, String reason) {
        reading.remove(id);
        replyAll(tick, id, new BatchAnswer.Unsure(reason));
    }

    /**
     * Answers all calls for the results of a job.
     *
     * @param tick The tick.
     * @param id The job.
     * @param answer The answer.
     */
    private void replyAll(Tick tick, BatchJobId id, BatchAnswer answer) {
        waiting.rows().stream()
                .filter(request -> request.id().equals(id))
                .forEach(request -> reply(tick, request, answer));
    }

    /**
     * Answers a call for results.
     *
     * @param tick The tick.
     * @param request The call.
     * @param answer The answer.
     */
    private void reply(Tick tick, BatchEvent.ResultsRequested request, BatchAnswer answer) {
        waiting.remove(request.ticket());
        waitingForIndex.remove(request.ticket());
        runnerQueries.forget(request.ticket());
        tick.emit(new BatchEffect.Reply(request.ticket(), answer));
    }
}
