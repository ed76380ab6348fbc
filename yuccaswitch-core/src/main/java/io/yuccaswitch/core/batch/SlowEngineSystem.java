package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.route.Route;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Reads how fast engines make events, and lets the items of one that has turned slow or silent go on at others. */
final class SlowEngineSystem implements DecisionSystem {

    /** How long a slow engine gets no item, before it is tried again. */
    private static final Duration SLOW_PAUSE = Duration.ofSeconds(3);

    /** The tables of the batch system. */
    private final BatchState state;

    /** Chooses engines. */
    private final EngineChoice choice;

    /**
     * Creates a system that has read nothing.
     *
     * @param state The tables of the batch system.
     */
    SlowEngineSystem(BatchState state) {
        this.state = state;
        choice = new EngineChoice(state);
    }

    @Override
    public void run(Tick tick) {
        tick.events(BatchEvent.Progressed.class).forEach(progressed -> takeProgress(tick, progressed));
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
        if (readings.keySet().stream().anyMatch(engine -> choice.isSlow(tick, engine))) {
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
                .filter(item -> item.endpoint()
                        .filter(engine -> choice.isSlow(tick, engine))
                        .isPresent())
                .toList();
        long places = choice.engines(tick, job, route.get()).stream()
                .filter(engine -> !choice.isSlow(tick, engine.name()))
                .mapToLong(choice::freePlaces)
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
        state.loads().pause(engine, job.job().model(), tick.now(), SLOW_PAUSE);
        state.move(
                tick, job, item, engine.value() + " is slow: " + state.rates().describe(engine));
    }
}
