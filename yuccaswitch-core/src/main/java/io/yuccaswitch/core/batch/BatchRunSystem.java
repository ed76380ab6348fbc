package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.quarantine.RequestFingerprint;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import io.yuccaswitch.core.route.Route;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

/** Runs the items of jobs at engines, and takes what becomes of the attempts. */
final class BatchRunSystem implements DecisionSystem {

    /** How long an engine that broke an attempt off gets no item of the model. */
    private static final Duration INTERRUPTION_PAUSE = Duration.ofMillis(400);

    /** How long an engine that can't be connected to gets no item of the model. */
    private static final Duration UNREACHABLE_PAUSE = Duration.ofSeconds(1);

    /**
     * The order of waiting items: those that were broken off go on first. They were begun early because they are long,
     * and their groups wait for what they have lost.
     */
    private static final Comparator<RunningItem> BEGUN_FIRST =
            Comparator.comparing(item -> item.text().isEmpty());

    /** The tables of the batch system. */
    private final BatchState state;

    /** Chooses engines. */
    private final EngineChoice choice;

    /**
     * Creates a system that runs nothing.
     *
     * @param state The tables of the batch system.
     */
    BatchRunSystem(BatchState state) {
        this.state = state;
        choice = new EngineChoice(state);
    }

    @Override
    public void run(Tick tick) {
        tick.events(BatchEvent.AttemptBegun.class).forEach(begun -> takeBegin(tick, begun));
        tick.events(BatchEvent.AttemptEnded.class).forEach(ended -> take(tick, ended));
        if (state.routes().inForce().isEmpty()) {
            return;
        }
        boolean mayStart = state.registry().allowsDispatch(tick.now());
        state.running().rows().stream()
                .sorted(Comparator.comparingLong(job -> job.job().submittedAt()))
                .forEach(job -> advance(tick, job, mayStart));
    }

    /**
     * Gives up or starts the waiting items of a job.
     *
     * @param tick The tick.
     * @param job The job.
     * @param mayStart Whether what is known of the engines is recent enough for items to start.
     */
    private void advance(Tick tick, RunningJob job, boolean mayStart) {
        Optional<Route> route = state.route(job.job());
        if (route.isEmpty() || job.isOverdue(tick.now())) {
            giveUp(tick, job, route.isEmpty() ? "the route is gone" : "its time is up");
            return;
        }
        List<RunningItem> waiting = job.waiting();
        if (waiting.isEmpty() || !mayStart) {
            return;
        }
        List<RegisteredEndpoint> engines = choice.engines(tick, job, route.get());
        long startable = choice.startable(tick, job, engines);
        if (startable == 0) {
            return;
        }
        Set<EndpointName> share = choice.share(job, route.get());
        waiting.stream()
                .sorted(BEGUN_FIRST)
                .limit(startable)
                .forEach(item -> startSomewhere(tick, job, item, engines, share, route.get()));
    }

    /**
     * Starts a waiting item, if an engine has a place for it.
     *
     * @param tick The tick.
     * @param job The job.
     * @param item The item.
     * @param engines The engines that may run it.
     * @param share The engines that jobs of the model take first.
     * @param route The job's route.
     */
    private void startSomewhere(
            Tick tick,
            RunningJob job,
            RunningItem item,
            List<RegisteredEndpoint> engines,
            Set<EndpointName> share,
            Route route) {
        Supplier<RequestFingerprint> fingerprint = () -> fingerprint(job, item.item());
        List<EndpointName> names =
                engines.stream().map(RegisteredEndpoint::name).toList();
        if (state.quarantine()
                .refusal(tick, item.item().id(), fingerprint, names)
                .isEmpty()) {
            choice.choose(tick, job, item, engines, share, route)
                    .ifPresent(engine -> start(tick, job, item, engine, route));
        }
    }

    /**
     * Returns what recognises an item.
     *
     * @param job The job.
     * @param item The item.
     * @return The fingerprint.
     */
    private static RequestFingerprint fingerprint(RunningJob job, BatchItem item) {
        return item.fingerprint(job.job().host());
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
                job.giveUpAt().since(tick.now()),
                state.quarantine().isInDoubt(() -> fingerprint(job, item.item()))));
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
            state.quarantine()
                    .serve(
                            tick,
                            () -> fingerprint(job.get(), item.get().item()),
                            item.get().attempt() == 1);
            complete(tick, job.get(), item.get(), engine);
        } else if (outcome instanceof AttemptOutcome.Impossible) {
            finish(tick, item.get(), BatchResult.givenUp(ended.item()), "the engine can never run it");
        } else if (outcome instanceof AttemptOutcome.Failed) {
            fail(tick, job.get(), item.get(), engine);
        } else if (outcome instanceof AttemptOutcome.Refused refused) {
            state.loads().refuse(engine, model, tick.now());
            again(tick, item.get(), engine, refused.reason());
        } else if (outcome instanceof AttemptOutcome.Withheld withheld) {
            again(tick, item.get(), engine, withheld.reason());
        } else if (outcome instanceof AttemptOutcome.Interrupted interrupted) {
            Duration pause = interrupted.unreachable() ? UNREACHABLE_PAUSE : INTERRUPTION_PAUSE;
            state.loads().pause(engine, model, tick.now(), pause);
            BatchItem lost = item.get().item();
            state.quarantine()
                    .lose(
                            tick,
                            () -> fingerprint(job.get(), lost),
                            lost.describe(job.get().job().host()),
                            engine,
                            interrupted.loss());
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
