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
 * Answers calls for results at any node: from the log of a job that runs here, else with what the job's runner shows,
 * else from what lies on the platform. No call is answered that there is nothing before the platform was asked.
 */
final class BatchReadSystem implements DecisionSystem {

    /** How long one watch for results waits at most. */
    private static final Duration LONGEST_WATCH = Duration.ofSeconds(1);

    /** A wait below which a watch is not worth its price. */
    private static final Duration SHORTEST_WATCH = Duration.ofMillis(100);

    /** How long the index may take to name the runner of a job that was just accepted elsewhere. */
    private static final Duration INDEX_TIME = Duration.ofMillis(700);

    /** The tables of the batch system. */
    private final BatchState state;

    /** The calls that wait for results, by their tickets. */
    private final EntityTable<Long, BatchEvent.ResultsRequested> waiting = new EntityTable<>();

    /** Asks the runners of jobs. */
    private final RunnerReads runners;

    /** Until when calls wait for the index to name their job's runner, by their tickets. */
    private final Map<Long, MonotonicTime> unplaced = new HashMap<>();

    /** The jobs that are being read. */
    private final Set<BatchJobId> reading = new HashSet<>();

    /**
     * Creates a system without calls.
     *
     * @param state The tables of the batch system.
     */
    BatchReadSystem(BatchState state) {
        this.state = state;
        runners = new RunnerReads(state.index(), state.membership());
    }

    @Override
    public void run(Tick tick) {
        for (BatchEvent.ResultsRequested request : tick.events(BatchEvent.ResultsRequested.class)) {
            waiting.put(request.ticket(), request);
            begin(tick, request);
        }
        runners.receive(tick).forEach(answer -> takeRunners(tick, answer));
        waiting.rows().forEach(request -> answerIfReady(tick, request));
        state.trimLogs();
    }

    /**
     * Takes the answer of a runner. Where it has none, the platform is asked.
     *
     * @param tick The tick.
     * @param taken The answer.
     */
    private void takeRunners(Tick tick, RunnerReads.Answer taken) {
        Optional<BatchEvent.ResultsRequested> request = waiting.find(taken.ticket());
        if (request.isEmpty()) {
            return;
        }
        if (taken.answer().isPresent()) {
            reply(tick, request.get(), taken.answer().get());
        } else {
            refresh(tick, request.get().id(), request.get());
        }
    }

    /**
     * Begins to answer a call for results.
     *
     * @param tick The tick.
     * @param request The call.
     */
    private void begin(Tick tick, BatchEvent.ResultsRequested request) {
        Optional<ResultLog> log = state.logs().find(request.id());
        log.ifPresent(known -> known.use(tick.now()));
        if (log.isPresent() && (log.get().size() > request.position() || isLocal(request.id(), log.get()))) {
            return;
        }
        if (log.isEmpty()
                && state.index().find(request.id()).isEmpty()
                && tick.now().isBefore(request.until())) {
            unplaced.put(request.ticket(), tick.now().plus(INDEX_TIME));
            return;
        }
        place(tick, request);
    }

    /**
     * Asks the runner of a job for results, or the platform if the runner is not known.
     *
     * @param tick The tick.
     * @param request The call.
     */
    private void place(Tick tick, BatchEvent.ResultsRequested request) {
        unplaced.remove(request.ticket());
        BatchMessage question = new BatchMessage.ReadResults(
                request.ticket(),
                request.id().value(),
                request.position(),
                request.until().since(tick.now()).toMillis());
        if (tick.now().isBefore(request.until()) && runners.ask(tick, request.id(), request.ticket(), question)) {
            return;
        }
        refresh(tick, request.id(), request);
    }

    /**
     * Returns whether new results become known here without a call for each reader.
     *
     * @param id The job.
     * @param log The log.
     * @return {@code true} if the job runs here or all its results are known.
     */
    private boolean isLocal(BatchJobId id, ResultLog log) {
        return log.isComplete() || state.running().contains(id);
    }

    /**
     * Answers a waiting call if there is a result. When its time is up, the platform is asked before the answer says
     * that there is none: another node may have taken the job over meanwhile.
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
        } else if (isToBePlaced(tick, request)) {
            place(tick, request);
        } else if (!tick.now().isBefore(request.until())) {
            unplaced.remove(request.ticket());
            runners.forget(request.ticket());
            refresh(tick, request.id(), request);
        }
    }

    /**
     * Returns whether a call that waits for the index need not wait any longer.
     *
     * @param tick The tick.
     * @param request The call.
     * @return {@code true} if the index names the job's runner, or did not do so in time.
     */
    private boolean isToBePlaced(Tick tick, BatchEvent.ResultsRequested request) {
        MonotonicTime until = unplaced.get(request.ticket());
        return until != null
                && (state.index().find(request.id()).isPresent() || !tick.now().isBefore(until));
    }

    /**
     * Reads what lies behind the known results of a job, unless that is in progress.
     *
     * @param tick The tick.
     * @param id The job.
     * @param request The call that needs it.
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
     * Finds out whether there is such a job.
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
     * Lists the objects behind the known ones.
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
                        (later, event) -> receive(later, id, log, event));
    }

    /**
     * Waits for objects behind the known ones.
     *
     * @param tick The tick.
     * @param id The job.
     * @param log The job's log.
     * @param request The call that waits.
     */
    private void watch(Tick tick, BatchJobId id, ResultLog log, BatchEvent.ResultsRequested request) {
        Duration left = request.until().since(tick.now());
        if (left.compareTo(SHORTEST_WATCH) < 0) {
            list(tick, id, log);
            return;
        }
        Duration wait = left.compareTo(LONGEST_WATCH) < 0 ? left : LONGEST_WATCH;
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
                        (later, event) -> receive(later, id, log, event));
    }

    /**
     * Takes listed or changed objects, and answers the calls that wait for them.
     *
     * @param tick The tick.
     * @param id The job.
     * @param log The job's log.
     * @param event The platform's answer.
     */
    private void receive(Tick tick, BatchJobId id, ResultLog log, PlatformEvent event) {
        if (!(event instanceof PlatformEvent.ObjectsListed listed)) {
            failAll(tick, id, "the platform did not answer");
            return;
        }
        if (listed.reset()) {
            log.forgetVersion();
            list(tick, id, log);
            return;
        }
        reading.remove(id);
        state.drop(tick, id, log.take(listed.objects(), listed.version(), state.codec()));
        for (BatchEvent.ResultsRequested request : waiting.rows()) {
            if (!request.id().equals(id) || (runners.isAsked(request.ticket()) && log.size() <= request.position())) {
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
     * Tells all calls for a job that nothing is sure.
     *
     * @param tick The tick.
     * @param id The job.
     * @param reason Why.
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
        unplaced.remove(request.ticket());
        runners.forget(request.ticket());
        tick.emit(new BatchEffect.Reply(request.ticket(), answer));
    }
}
