package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import io.yuccaswitch.core.route.Route;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Runs the items of jobs at engines, and handles the outcomes of the attempts. */
final class BatchRunSystem implements DecisionSystem {

    /** How long an engine is excluded for a model after it interrupted an attempt. */
    private static final Duration INTERRUPTION_EXCLUSION = Duration.ofMillis(400);

    /** How long an engine is excluded for a model after a connection to it failed. */
    private static final Duration UNREACHABLE_EXCLUSION = Duration.ofSeconds(1);

    /**
     * The number of items that are considered in a tick in addition to twice the slots. It bounds the work of a tick
     * while many items wait for memory.
     */
    private static final int PASSING_ITEMS = 16;

    /** The tables of the batch system. */
    private final BatchState state;

    /** Chooses engines. */
    private final EngineChoice choice;

    /** The order in which waiting items start. */
    private final DispatchOrder order;

    /**
     * Creates a system without items in progress.
     *
     * @param state The tables of the batch system.
     */
    BatchRunSystem(BatchState state) {
        this.state = state;
        choice = new EngineChoice(state);
        order = DispatchOrder.of(state, choice);
    }

    @Override
    public void run(Tick tick) {
        tick.events(BatchEvent.AttemptStarted.class).forEach(started -> handleStart(tick, started));
        tick.events(BatchEvent.AttemptEnded.class).forEach(ended -> handle(tick, ended));
        if (state.routes().active().isEmpty()) {
            return;
        }
        boolean mayStart = state.registry().allowsDispatch(tick.now());
        order.shares(tick).forEach(share -> advance(tick, share, mayStart));
    }

    /**
     * Starts waiting items of a job, or abandons its items if the job has no route or its deadline has passed.
     *
     * @param tick The tick.
     * @param share The waiting items.
     * @param mayStart Whether the state of the engines is recent enough for items to start.
     */
    private void advance(Tick tick, DispatchOrder.Share share, boolean mayStart) {
        RunningJob job = share.job();
        Optional<Route> route = state.route(job.job());
        if (route.isEmpty() || job.isOverdue(tick.now())) {
            abandon(tick, job, route.isEmpty() ? "the route no longer exists" : "the deadline of the job has passed");
            return;
        }
        if (share.items().isEmpty() || !mayStart) {
            return;
        }
        List<RegisteredEndpoint> engines = choice.engines(tick, job, route.get());
        long startable = order.startable(tick, share, engines);
        if (startable == 0) {
            return;
        }
        Set<EndpointName> preferred = choice.share(job, route.get());
        // An item that waits for memory leaves its slot to shorter ones behind it.
        long candidates = state.options().engineMemory() ? 2 * startable + PASSING_ITEMS : startable;
        long started = 0;
        List<RunningItem> due = share.items().stream()
                .filter(item -> item.losses().mayStart(tick.now(), () -> isLast(engines)))
                .limit(candidates)
                .toList();
        for (RunningItem item : due) {
            started += startAtFreeEngine(tick, share, item, engines, preferred, route.get()) ? 1 : 0;
            if (started == startable) {
                return;
            }
        }
    }

    /**
     * Starts a waiting item if an engine has a free slot.
     *
     * @param tick The tick.
     * @param share The waiting items that the item belongs to.
     * @param item The item.
     * @param engines The engines that may run it.
     * @param preferred The engines that jobs of the model prefer.
     * @param route The job's route.
     * @return Whether it was started.
     */
    private boolean startAtFreeEngine(
            Tick tick,
            DispatchOrder.Share share,
            RunningItem item,
            List<RegisteredEndpoint> engines,
            Set<EndpointName> preferred,
            Route route) {
        Optional<RegisteredEndpoint> engine = choice.choose(tick, share.job(), item, engines, preferred, route);
        engine.ifPresent(chosen -> start(tick, share, item, chosen, route));
        return engine.isPresent();
    }

    /**
     * Returns whether at most one of the engines that may run items is left.
     *
     * @param engines The engines.
     * @return {@code true} if one is left or none.
     */
    private boolean isLast(List<RegisteredEndpoint> engines) {
        return state.quarantine()
                .isLast(engines.stream().map(RegisteredEndpoint::name).toList());
    }

    /**
     * Starts an item.
     *
     * @param tick The tick.
     * @param share The waiting items that the item belongs to.
     * @param item The item.
     * @param engine The engine.
     * @param route The job's route.
     */
    private void start(Tick tick, DispatchOrder.Share share, RunningItem item, RegisteredEndpoint engine, Route route) {
        RunningJob job = share.job();
        if (!route.resumable()
                || violatesSingleVersion(route, item, engine, job.job().model())) {
            item.discardText();
        }
        int attempt = item.begin(state.loads().begin(engine.name(), job.job().model()));
        job.setLastEngine(item.item().group(), engine.name());
        order.recordStart(share);
        tick.emit(new BatchEffect.Run(
                job.job().id(),
                item.item(),
                attempt,
                job.job().host(),
                engine,
                item.text().lastEventId(),
                job.deadline().since(tick.now()),
                item.losses().hasLosses(),
                share.priority()));
        String priority =
                share.priority().isPresent() ? " priority " + share.priority().getAsInt() : "";
        tick.decide(Decision.of(
                "batch-item",
                item.item().id(),
                engine.name().value(),
                "job " + job.job().id() + " attempt " + attempt + " after event "
                        + item.text().lastEventId() + " engine version "
                        + engine.version(job.job().model()).orElse(0) + priority));
    }

    /**
     * Returns whether resuming at an engine would mix versions on a route that requires a single version.
     *
     * @param route The route.
     * @param item The item.
     * @param engine The engine.
     * @param model The model.
     * @return {@code true} if the item has to start from the beginning there.
     */
    private static boolean violatesSingleVersion(
            Route route, RunningItem item, RegisteredEndpoint engine, String model) {
        return route.requiresSingleVersion()
                && !item.text().isEmpty()
                && !item.text().versions().equals(List.of(engine.version(model).orElse(0)));
    }

    /**
     * Abandons all items of a job that have no result.
     *
     * @param tick The tick.
     * @param job The job.
     * @param reason The reason.
     */
    private void abandon(Tick tick, RunningJob job, String reason) {
        for (RunningItem item : job.items()) {
            if (item.result().isEmpty()) {
                state.cancel(tick, job.job().id(), item);
                finish(tick, item, BatchResult.abandoned(item.item().id()), reason);
            }
        }
    }

    /**
     * Handles the start of an answer.
     *
     * @param tick The tick.
     * @param started The start of the answer.
     */
    private void handleStart(Tick tick, BatchEvent.AttemptStarted started) {
        Optional<RunningJob> job = state.running().find(started.id());
        Optional<EndpointName> engine = job.flatMap(found -> found.find(started.item()))
                .filter(item -> item.isCurrent(started.attempt()))
                .flatMap(RunningItem::endpoint);
        if (engine.isPresent()) {
            String model = job.get().job().model();
            state.loads().succeed(engine.get(), model);
            state.registry().recordVersion(tick, engine.get(), model, started.version());
        }
    }

    /**
     * Handles the end of an attempt.
     *
     * @param tick The tick.
     * @param ended The end of the attempt.
     */
    private void handle(Tick tick, BatchEvent.AttemptEnded ended) {
        Optional<RunningJob> job = state.running().find(ended.id());
        Optional<RunningItem> item =
                job.flatMap(found -> found.find(ended.item())).filter(found -> found.isCurrent(ended.attempt()));
        if (item.isEmpty()) {
            return;
        }
        EngineLoads.Load load = item.get().stop().orElseThrow();
        state.loads().end(load);
        EndpointName engine = load.engine();
        String model = load.model();
        ended.text().versions().stream().max(Comparator.naturalOrder()).ifPresent(version -> state.registry()
                .recordVersion(tick, engine, model, version));
        item.get().appendText(ended.text());
        AttemptOutcome outcome = ended.outcome();
        if (outcome instanceof AttemptOutcome.Completed) {
            state.loads().succeed(engine, model);
            complete(tick, job.get(), item.get(), engine);
        } else if (outcome instanceof AttemptOutcome.Impossible impossible) {
            finish(tick, item.get(), BatchResult.abandoned(ended.item()), impossible.reason());
        } else if (outcome instanceof AttemptOutcome.Failed) {
            fail(tick, job.get(), item.get(), engine);
        } else if (outcome instanceof AttemptOutcome.Refused refused) {
            state.loads().refuse(engine, model, tick.now());
            retry(tick, item.get(), engine, refused.reason());
        } else if (outcome instanceof AttemptOutcome.Withheld withheld) {
            retry(tick, item.get(), engine, withheld.reason());
        } else if (outcome instanceof AttemptOutcome.Interrupted interrupted) {
            Duration exclusion = interrupted.unreachable() ? UNREACHABLE_EXCLUSION : INTERRUPTION_EXCLUSION;
            state.loads().exclude(engine, model, tick.now(), exclusion);
            item.get().losses().record(interrupted.loss(), tick.now());
            state.quarantine().recordEnd(tick, engine, interrupted.loss());
            retry(tick, item.get(), engine, interrupted.reason());
        }
    }

    /**
     * Accepts a complete output if its versions are allowed.
     *
     * @param tick The tick.
     * @param job The job.
     * @param item The item.
     * @param engine The engine.
     */
    private void complete(Tick tick, RunningJob job, RunningItem item, EndpointName engine) {
        List<Long> versions = item.text().versions();
        boolean single =
                state.route(job.job()).filter(Route::requiresSingleVersion).isPresent();
        boolean allowed = !versions.isEmpty()
                && versions.get(0) >= job.job().minimumVersion()
                && (!single || versions.size() == 1);
        if (!allowed) {
            item.discardText();
            state.loads().exclude(engine, job.job().model(), tick.now(), INTERRUPTION_EXCLUSION);
            retry(tick, item, engine, "versions " + versions + " are not allowed");
            return;
        }
        String reason = "complete, versions " + versions + " from " + engine.value();
        BatchResult completed =
                new BatchResult(item.item().id(), true, item.text().output(), versions, Optional.empty());
        if (item.item().scoring().isEmpty()) {
            finish(tick, item, completed, reason);
            return;
        }
        item.beginScoring(item.item().scoring().get(), completed, tick.now());
        tick.decide(Decision.of("batch-item", item.item().id(), "to be scored", reason));
    }

    /**
     * Handles a failure of an engine, and abandons the item once the failures reach the number of attempts that the
     * route allows.
     *
     * @param tick The tick.
     * @param job The job.
     * @param item The item.
     * @param engine The engine.
     */
    private void fail(Tick tick, RunningJob job, RunningItem item, EndpointName engine) {
        int failures = item.countFailure();
        int allowed = state.route(job.job()).map(Route::maximumAttempts).orElse(1);
        if (failures >= allowed) {
            finish(tick, item, BatchResult.abandoned(item.item().id()), "failed " + failures + " times");
            return;
        }
        state.loads().exclude(engine, job.job().model(), tick.now(), INTERRUPTION_EXCLUSION);
        retry(tick, item, engine, "the engine failed");
    }

    /**
     * Records why an item waits for another attempt.
     *
     * @param tick The tick.
     * @param item The item.
     * @param engine The engine of the last attempt.
     * @param reason The reason.
     */
    private static void retry(Tick tick, RunningItem item, EndpointName engine, String reason) {
        tick.decide(Decision.of(
                "batch-item",
                item.item().id(),
                "wait",
                "attempt " + item.attempt() + " at " + engine.value() + ": " + reason + ", events retained up to "
                        + item.text().lastEventId()));
    }

    /**
     * Finishes an item.
     *
     * @param tick The tick.
     * @param item The item.
     * @param result The result.
     * @param reason The reason.
     */
    private static void finish(Tick tick, RunningItem item, BatchResult result, String reason) {
        item.finish(result);
        tick.decide(Decision.of("batch-item", item.item().id(), result.completed() ? "completed" : "given up", reason));
    }
}
