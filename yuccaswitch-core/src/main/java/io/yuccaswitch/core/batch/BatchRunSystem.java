package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import io.yuccaswitch.core.route.Route;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Runs the items of jobs at engines, and takes what becomes of the attempts. */
final class BatchRunSystem implements DecisionSystem {

    /** How long an engine that broke an attempt off gets no item of the model. */
    private static final Duration INTERRUPTION_PAUSE = Duration.ofMillis(400);

    /** How long an engine that can't be connected to gets no item of the model. */
    private static final Duration UNREACHABLE_PAUSE = Duration.ofSeconds(1);

    /** How long a slow engine gets no item, before it is tried again. */
    private static final Duration SLOW_PAUSE = Duration.ofSeconds(3);

    /**
     * The order of waiting items: those that were broken off go on first. They were begun early because they are long,
     * and their groups wait for what they have lost.
     */
    private static final Comparator<RunningItem> BEGUN_FIRST =
            Comparator.comparing(item -> item.text().isEmpty());

    /** The tables of the batch system. */
    private final BatchState state;

    /**
     * Creates a system that runs nothing.
     *
     * @param state The tables of the batch system.
     */
    BatchRunSystem(BatchState state) {
        this.state = state;
    }

    @Override
    public void run(Tick tick) {
        tick.events(BatchEvent.AttemptBegun.class).forEach(begun -> takeBegin(tick, begun));
        tick.events(BatchEvent.Progressed.class).forEach(progressed -> takeProgress(tick, progressed));
        tick.events(BatchEvent.AttemptEnded.class).forEach(ended -> take(tick, ended));
        if (state.routes().inForce().isEmpty()) {
            return;
        }
        state.running().rows().stream()
                .sorted(Comparator.comparingLong(job -> job.job().submittedAt()))
                .forEach(job -> advance(tick, job));
    }

    /**
     * Gives up or starts the waiting items of a job.
     *
     * @param tick The tick.
     * @param job The job.
     */
    private void advance(Tick tick, RunningJob job) {
        Optional<Route> route = state.route(job.job());
        if (route.isEmpty() || job.isOverdue(tick.now())) {
            giveUp(tick, job, route.isEmpty() ? "the route is gone" : "its time is up");
            return;
        }
        List<RegisteredEndpoint> engines = engines(tick, job, route.get());
        job.items().stream()
                .filter(RunningItem::isWaiting)
                .sorted(BEGUN_FIRST)
                .forEach(item -> startSomewhere(tick, job, item, engines, route.get()));
    }

    /**
     * Starts a waiting item, if an engine has a place for it.
     *
     * @param tick The tick.
     * @param job The job.
     * @param item The item.
     * @param engines The engines that may run it.
     * @param route The job's route.
     */
    private void startSomewhere(
            Tick tick, RunningJob job, RunningItem item, List<RegisteredEndpoint> engines, Route route) {
        choose(tick, job, item, engines).ifPresent(engine -> start(tick, job, item, engine, route));
    }

    /**
     * Returns the engines that may run the items of a job now.
     *
     * @param tick The tick.
     * @param job The job.
     * @param route The job's route.
     * @return The working engines with the job's version that are not left alone.
     */
    private List<RegisteredEndpoint> engines(Tick tick, RunningJob job, Route route) {
        Optional<Route.PoolShare> pool = route.pools().stream()
                .filter(share -> share.weight() > 0)
                .max(Comparator.comparingDouble(Route.PoolShare::weight));
        if (pool.isEmpty()) {
            return List.of();
        }
        return state.registry().working(pool.get().pool()).stream()
                .filter(engine ->
                        engine.servesAtLeast(job.job().model(), job.job().minimumVersion()))
                .filter(engine ->
                        !state.loads().isPaused(engine.name(), job.job().model(), tick.now()))
                .toList();
    }

    /**
     * Chooses the engine for an item: that of its group, which has read the prompt, else the one with the newest
     * version and the fewest items.
     *
     * @param tick The tick.
     * @param job The job.
     * @param item The item.
     * @param engines The engines that may run it.
     * @return The engine, or empty if all have enough to do.
     */
    private Optional<RegisteredEndpoint> choose(
            Tick tick, RunningJob job, RunningItem item, List<RegisteredEndpoint> engines) {
        List<RegisteredEndpoint> free = engines.stream()
                .filter(engine -> state.loads().running(engine.name()) < engine.slots())
                .filter(engine ->
                        !state.loads().isOnTrial(engine.name(), job.job().model()))
                .filter(engine -> !isSlow(tick, engine.name()) || state.loads().running(engine.name()) == 0)
                .toList();
        Optional<EndpointName> last = job.lastEngine(item.item().group());
        Optional<RegisteredEndpoint> same = free.stream()
                .filter(engine -> last.filter(engine.name()::equals).isPresent())
                .filter(engine -> !isSlow(tick, engine.name()))
                .findFirst();
        if (same.isPresent() && item.text().isEmpty()) {
            return same;
        }
        String model = job.job().model();
        return free.stream()
                .min(Comparator.comparing((RegisteredEndpoint engine) -> isSlow(tick, engine.name()))
                        .thenComparingLong(engine -> -engine.version(model).orElse(0))
                        .thenComparingDouble(
                                engine -> (double) state.loads().running(engine.name()) / Math.max(1, engine.slots())));
    }

    /**
     * Returns whether an engine is taken to be slow.
     *
     * @param tick The tick.
     * @param engine The engine.
     * @return {@code true} if it is.
     */
    private boolean isSlow(Tick tick, EndpointName engine) {
        return state.rates().isSlow(engine, tick.now());
    }

    /**
     * Starts an item.
     *
     * @param tick The tick.
     * @param job The job.
     * @param item The item.
     * @param engine The engine.
     * @param route The job's route.
     */
    private void start(Tick tick, RunningJob job, RunningItem item, RegisteredEndpoint engine, Route route) {
        if (!route.resumable()
                || breaksSingleVersion(route, item, engine, job.job().model())) {
            item.keep(ItemText.EMPTY);
        }
        int attempt = item.begin(engine.name());
        state.loads().begin(engine.name());
        state.loads().tryOut(engine.name(), job.job().model());
        job.remember(item.item().group(), engine.name());
        tick.emit(new BatchEffect.Run(
                job.job().id(),
                item.item(),
                attempt,
                job.job().host(),
                engine,
                item.text().lastEventId(),
                job.giveUpAt().since(tick.now())));
        tick.decide(Decision.of(
                "batch-item",
                item.item().id(),
                engine.name().value(),
                "job " + job.job().id() + " attempt " + attempt + " behind event "
                        + item.text().lastEventId() + " engine version "
                        + engine.version(job.job().model()).orElse(0)));
    }

    /**
     * Returns whether going on at an engine would mix versions on a route that forbids it.
     *
     * @param route The route.
     * @param item The item.
     * @param engine The engine.
     * @param model The model.
     * @return {@code true} if the item has to begin anew there.
     */
    private static boolean breaksSingleVersion(Route route, RunningItem item, RegisteredEndpoint engine, String model) {
        return route.demandsSingleVersion()
                && !item.text().isEmpty()
                && !item.text().versions().equals(List.of(engine.version(model).orElse(0)));
    }

    /**
     * Gives up all items of a job that have no result.
     *
     * @param tick The tick.
     * @param job The job.
     * @param reason Why.
     */
    private void giveUp(Tick tick, RunningJob job, String reason) {
        for (RunningItem item : job.items()) {
            if (item.result().isEmpty()) {
                state.breakOff(tick, job.job().id(), item);
                finish(tick, item, BatchResult.givenUp(item.item().id()), reason);
            }
        }
    }

    /**
     * Takes the beginning of an answer.
     *
     * @param tick The tick.
     * @param begun The beginning.
     */
    private void takeBegin(Tick tick, BatchEvent.AttemptBegun begun) {
        Optional<RunningJob> job = state.running().find(begun.id());
        Optional<EndpointName> engine = job.flatMap(found -> found.find(begun.item()))
                .filter(item -> item.isCurrent(begun.attempt()))
                .flatMap(RunningItem::endpoint);
        if (engine.isPresent()) {
            String model = job.get().job().model();
            state.loads().succeed(engine.get(), model);
            state.registry().noteVersion(tick, engine.get(), model, begun.version());
        }
    }

    /**
     * Takes the progress of attempts, and lets the items of an engine that has turned slow go on at others.
     *
     * @param tick The tick.
     * @param progressed The progress.
     */
    private void takeProgress(Tick tick, BatchEvent.Progressed progressed) {
        Map<EndpointName, EngineRates.Reading> readings = new HashMap<>();
        for (BatchEvent.Progress progress : progressed.attempts()) {
            current(progress)
                    .ifPresent(item -> readings.merge(
                            item.endpoint().orElseThrow(),
                            item.read(progress.events(), progress.since()),
                            EngineRates.Reading::join));
        }
        readings.forEach((engine, reading) -> state.rates().read(engine, reading, tick.now()));
        readings.keySet().forEach(engine -> judge(tick, engine));
        if (readings.keySet().stream().anyMatch(engine -> isSlow(tick, engine))) {
            state.running().rows().forEach(job -> leaveSlowEngines(tick, job));
        }
    }

    /**
     * Judges whether an engine is slow, after it was read.
     *
     * @param tick The tick.
     * @param engine The engine.
     */
    private void judge(Tick tick, EndpointName engine) {
        EngineRates.Verdict verdict = state.rates().judge(engine);
        if (verdict == EngineRates.Verdict.UNCHANGED) {
            return;
        }
        String reason = state.rates().describe(engine);
        tick.decide(Decision.of("engine-rate", engine.value(), verdict.name(), reason));
    }

    /**
     * Returns the item of an attempt in progress.
     *
     * @param progress The attempt's progress.
     * @return The item, or empty if the attempt is not the current one.
     */
    private Optional<RunningItem> current(BatchEvent.Progress progress) {
        return state.running()
                .find(progress.id())
                .flatMap(job -> job.find(progress.item()))
                .filter(item -> item.isCurrent(progress.attempt()));
    }

    /**
     * Breaks off attempts of a job at slow engines, as many as find a place at others, where they go on behind their
     * events.
     *
     * @param tick The tick.
     * @param job The job.
     */
    private void leaveSlowEngines(Tick tick, RunningJob job) {
        Optional<Route> route = state.route(job.job());
        if (route.isEmpty()) {
            return;
        }
        List<RunningItem> leaving = job.items().stream()
                .filter(item ->
                        item.endpoint().filter(engine -> isSlow(tick, engine)).isPresent())
                .toList();
        long places = engines(tick, job, route.get()).stream()
                .filter(engine -> !isSlow(tick, engine.name()))
                .mapToLong(engine -> Math.max(0, engine.slots() - state.loads().running(engine.name())))
                .sum();
        long moving = state.running().view().stream()
                .flatMap(other -> other.items().stream())
                .filter(RunningItem::isMoving)
                .count();
        leaving.stream()
                .filter(item -> !item.isMoving())
                .limit(Math.max(0, places - moving))
                .forEach(item -> move(tick, job, item));
    }

    /**
     * Breaks an attempt at a slow engine off, such that the item goes on elsewhere.
     *
     * @param tick The tick.
     * @param job The job.
     * @param item The item.
     */
    private void move(Tick tick, RunningJob job, RunningItem item) {
        EndpointName engine = item.endpoint().orElseThrow();
        item.move();
        state.loads().pause(engine, job.job().model(), tick.now(), SLOW_PAUSE);
        tick.emit(new BatchEffect.Cancel(job.job().id(), item.item().id(), item.attempt()));
        tick.decide(Decision.of(
                "batch-item",
                item.item().id(),
                "move",
                engine.value() + " is slow: " + state.rates().describe(engine)));
    }

    /**
     * Takes the end of an attempt.
     *
     * @param tick The tick.
     * @param ended The end of the attempt.
     */
    private void take(Tick tick, BatchEvent.AttemptEnded ended) {
        Optional<RunningJob> job = state.running().find(ended.id());
        Optional<RunningItem> item =
                job.flatMap(found -> found.find(ended.item())).filter(found -> found.isCurrent(ended.attempt()));
        if (item.isEmpty()) {
            return;
        }
        EndpointName engine = item.get().stop().orElseThrow();
        state.loads().end(engine);
        String model = job.get().job().model();
        state.loads().endTrial(engine, model);
        ended.text().versions().stream().max(Comparator.naturalOrder()).ifPresent(version -> state.registry()
                .noteVersion(tick, engine, model, version));
        item.get().keep(item.get().text().append(ended.text()));
        AttemptOutcome outcome = ended.outcome();
        if (outcome instanceof AttemptOutcome.Completed) {
            state.loads().succeed(engine, model);
            complete(tick, job.get(), item.get(), engine);
        } else if (outcome instanceof AttemptOutcome.Impossible) {
            finish(tick, item.get(), BatchResult.givenUp(ended.item()), "the engine can never run it");
        } else if (outcome instanceof AttemptOutcome.Failed) {
            fail(tick, job.get(), item.get(), engine);
        } else if (outcome instanceof AttemptOutcome.Refused refused) {
            state.loads().refuse(engine, model, tick.now());
            again(tick, item.get(), engine, refused.reason());
        } else if (outcome instanceof AttemptOutcome.Interrupted interrupted) {
            Duration pause = interrupted.unreachable() ? UNREACHABLE_PAUSE : INTERRUPTION_PAUSE;
            state.loads().pause(engine, model, tick.now(), pause);
            again(tick, item.get(), engine, interrupted.reason());
        }
    }

    /**
     * Takes a whole output, if its versions are allowed.
     *
     * @param tick The tick.
     * @param job The job.
     * @param item The item.
     * @param engine The engine.
     */
    private void complete(Tick tick, RunningJob job, RunningItem item, EndpointName engine) {
        List<Long> versions = item.text().versions();
        boolean single =
                state.route(job.job()).filter(Route::demandsSingleVersion).isPresent();
        boolean allowed = !versions.isEmpty()
                && versions.get(0) >= job.job().minimumVersion()
                && (!single || versions.size() == 1);
        if (!allowed) {
            item.keep(ItemText.EMPTY);
            state.loads().pause(engine, job.job().model(), tick.now(), INTERRUPTION_PAUSE);
            again(tick, item, engine, "versions " + versions + " are not allowed");
            return;
        }
        String reason = "whole, versions " + versions + " from " + engine.value();
        BatchResult whole = new BatchResult(item.item().id(), true, item.text().output(), versions, Optional.empty());
        if (item.item().scoring().isEmpty()) {
            finish(tick, item, whole, reason);
            return;
        }
        item.beginScoring(item.item().scoring().get(), whole, tick.now());
        tick.decide(Decision.of("batch-item", item.item().id(), "to be scored", reason));
    }

    /**
     * Takes a failure of an engine, and gives the item up after as many as the route allows.
     *
     * @param tick The tick.
     * @param job The job.
     * @param item The item.
     * @param engine The engine.
     */
    private void fail(Tick tick, RunningJob job, RunningItem item, EndpointName engine) {
        int failures = item.fail();
        int allowed = state.route(job.job()).map(Route::maximumAttempts).orElse(1);
        if (failures >= allowed) {
            finish(tick, item, BatchResult.givenUp(item.item().id()), "failed " + failures + " times");
            return;
        }
        state.loads().pause(engine, job.job().model(), tick.now(), INTERRUPTION_PAUSE);
        again(tick, item, engine, "the engine failed");
    }

    /**
     * Lets an item wait for another attempt.
     *
     * @param tick The tick.
     * @param item The item.
     * @param engine The engine of the last attempt.
     * @param reason Why.
     */
    private static void again(Tick tick, RunningItem item, EndpointName engine, String reason) {
        tick.decide(Decision.of(
                "batch-item",
                item.item().id(),
                "wait",
                "attempt " + item.attempt() + " at " + engine.value() + ": " + reason + ", events kept to "
                        + item.text().lastEventId()));
    }

    /**
     * Finishes an item.
     *
     * @param tick The tick.
     * @param item The item.
     * @param result The result.
     * @param reason Why.
     */
    private static void finish(Tick tick, RunningItem item, BatchResult result, String reason) {
        item.finish(result);
        tick.decide(Decision.of("batch-item", item.item().id(), result.completed() ? "completed" : "given up", reason));
    }
}
