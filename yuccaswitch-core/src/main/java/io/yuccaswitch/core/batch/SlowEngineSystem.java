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

/**
 * Measures the event rates of engines, and moves the items of an engine that has become slow or silent to other
 * engines.
 */
final class SlowEngineSystem implements DecisionSystem {

    /** How long a slow engine is excluded before it is tried again. */
    private static final Duration SLOW_ENGINE_EXCLUSION = Duration.ofSeconds(3);

    /** The tables of the batch system. */
    private final BatchState state;

    /** Chooses engines. */
    private final EngineChoice choice;

    /**
     * Creates a system without readings.
     *
     * @param state The tables of the batch system.
     */
    SlowEngineSystem(BatchState state) {
        this.state = state;
        choice = new EngineChoice(state);
    }

    @Override
    public void run(Tick tick) {
        tick.events(BatchEvent.Progressed.class).forEach(progressed -> handleProgress(tick, progressed));
    }

    /**
     * Handles the progress of attempts, and moves the items of an engine that has become slow to other engines.
     *
     * @param tick The tick.
     * @param progressed The progress.
     */
    private void handleProgress(Tick tick, BatchEvent.Progressed progressed) {
        Map<EndpointName, EngineRates.Reading> readings = new HashMap<>();
        for (BatchEvent.Progress progress : progressed.attempts()) {
            state.current(progress)
                    .ifPresent(item -> readings.merge(
                            item.endpoint().orElseThrow(),
                            item.read(progress.events(), progress.since()),
                            EngineRates.Reading::join));
        }
        readings.forEach((engine, reading) -> state.rates().addReading(engine, reading, tick.now()));
        readings.keySet().forEach(engine -> evaluate(tick, engine));
        if (readings.keySet().stream().anyMatch(engine -> choice.isSlow(tick, engine))) {
            state.running().rows().forEach(job -> leaveSlowEngines(tick, job));
        }
    }

    /**
     * Evaluates whether an engine is slow after a reading.
     *
     * @param tick The tick.
     * @param engine The engine.
     */
    private void evaluate(Tick tick, EndpointName engine) {
        EngineRates.Verdict verdict = state.rates().evaluate(engine);
        if (verdict == EngineRates.Verdict.UNCHANGED) {
            return;
        }
        String reason = state.rates().describe(engine);
        tick.decide(Decision.of("engine-rate", engine.value(), verdict.name(), reason));
    }

    /**
     * Cancels attempts of a job at slow engines, at most as many as other engines have free slots, where the items
     * resume after their events.
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
        long availableSlots = choice.engines(tick, job, route.get()).stream()
                .filter(engine -> !choice.isSlow(tick, engine.name()))
                .mapToLong(choice::freeSlots)
                .sum();
        long moving = state.running().view().stream()
                .flatMap(other -> other.items().stream())
                .filter(RunningItem::isMoving)
                .count();
        leaving.stream()
                .filter(item -> !item.isMoving())
                .limit(Math.max(0, availableSlots - moving))
                .forEach(item -> move(tick, job, item));
    }

    /**
     * Cancels an attempt at a slow engine so that the item resumes at another engine.
     *
     * @param tick The tick.
     * @param job The job.
     * @param item The item.
     */
    private void move(Tick tick, RunningJob job, RunningItem item) {
        EndpointName engine = item.endpoint().orElseThrow();
        state.loads().exclude(engine, job.job().model(), tick.now(), SLOW_ENGINE_EXCLUSION);
        state.move(
                tick, job, item, engine.value() + " is slow: " + state.rates().describe(engine));
    }
}
