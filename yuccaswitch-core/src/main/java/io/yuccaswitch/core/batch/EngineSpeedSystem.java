package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import io.yuccaswitch.core.route.EngineTerms;
import io.yuccaswitch.core.route.Route;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Measures the speeds of engines, and moves those items of slow engines that end earlier at another one. It replaces
 * {@link SlowEngineSystem} where nodes share the speeds of engines.
 */
final class EngineSpeedSystem implements DecisionSystem {

    /**
     * The minimum running time of a run since its last reading. An engine makes an event every 49 ms, so that a run
     * that has just started would be read as slow.
     */
    private static final Duration MINIMUM_READING = Duration.ofMillis(150);

    /**
     * The age of a slowdown up to which one of several items of this node stays: a bit longer than the usual short one.
     * Without a run, the end of a slowdown is not observed, and this node would not learn how long slowdowns usually
     * last. With 1 s, three in ten long items left a lasting slowdown later than a second after its beginning.
     */
    private static final Duration OBSERVATION_TIME = Duration.ofMillis(700);

    /**
     * The number of engines in use from which slow readings of most of them mean that the usual speed has changed. The
     * last items of a job may run at three engines that are slow independently.
     */
    private static final int MINIMUM_COMMON_ENGINES = 4;

    /**
     * The share of the engines in use that are slow together. A third may be slow independently; engines whose runs
     * have just started are not read yet.
     */
    private static final double COMMON_SLOWDOWN_SHARE = 0.8;

    /**
     * The minimum number of further events of an item whose length is unknown: half of the usual length, so that an
     * item that has just started is not taken for one that is about to end.
     */
    private static final long MINIMUM_UNKNOWN_EVENTS = 10;

    /**
     * The remaining part, as a divisor, of an item that has exceeded its estimate. Estimates are often far off, and the
     * error of a longer item is larger.
     */
    private static final long EXCEEDED_ESTIMATE_DIVISOR = 4;

    /** The tables of the batch system. */
    private final BatchState state;

    /** Determines the engines that may run items. */
    private final EngineChoice choice;

    /**
     * Creates a system.
     *
     * @param state The tables of the batch system.
     */
    EngineSpeedSystem(BatchState state) {
        this.state = state;
        choice = new EngineChoice(state);
    }

    @Override
    public void run(Tick tick) {
        tick.events(BatchEvent.Progressed.class).forEach(progressed -> handleProgress(tick, progressed));
    }

    /**
     * Handles the progress of attempts.
     *
     * @param tick The tick.
     * @param progressed The progress.
     */
    private void handleProgress(Tick tick, BatchEvent.Progressed progressed) {
        Map<EndpointName, List<EngineRates.Reading>> runs = new HashMap<>();
        for (BatchEvent.Progress progress : progressed.attempts()) {
            state.current(progress)
                    .filter(item -> item.unreadTime(progress.since()).compareTo(MINIMUM_READING) >= 0)
                    .ifPresent(item -> runs.computeIfAbsent(item.endpoint().orElseThrow(), _engine -> new ArrayList<>())
                            .add(item.read(progress.events(), progress.since())));
        }
        Set<EndpointName> read = new HashSet<>();
        runs.forEach((engine, readings) -> {
            state.rates().addReading(engine, withoutPreempted(engine, readings), tick.now());
            read.add(engine);
        });
        if (areSlowTogether(tick, read)) {
            return;
        }
        read.forEach(engine -> evaluate(tick, engine));
        moveItems(tick);
    }

    /**
     * Returns whether the engines in use are slow together, according to own readings and the reports of other nodes:
     * then none of them is slow compared with the others. Engines without any progress don't count: their items must
     * leave, also if this node is partitioned from most engines.
     *
     * @param tick The tick.
     * @param read The engines that this node has just read.
     * @return {@code true} if most of them are slow.
     */
    private boolean areSlowTogether(Tick tick, Set<EndpointName> read) {
        Set<EndpointName> used = new HashSet<>(read);
        used.addAll(state.remoteLoads().engines());
        long slow = used.stream()
                .filter(engine -> read.contains(engine)
                        ? state.rates().isBelowThreshold(engine)
                                && !state.rates().isSilent(engine)
                        : state.remoteLoads().slowFor(engine, tick.now()).isPresent())
                .count();
        return used.size() >= MINIMUM_COMMON_ENGINES && slow >= COMMON_SLOWDOWN_SHARE * used.size();
    }

    /**
     * Joins the readings of the runs at an engine. A run without progress while another one continues at the usual rate
     * is preempted for lack of memory, which is not a property of the engine's speed.
     *
     * @param engine The engine.
     * @param readings The readings of its runs, at least one.
     * @return The joined reading.
     */
    private EngineRates.Reading withoutPreempted(EndpointName engine, List<EngineRates.Reading> readings) {
        double threshold = EngineRates.SLOW_RATE_SHARE * state.rates().medianRate(engine);
        boolean anyUsual =
                readings.stream().anyMatch(reading -> reading.events() > 0 && reading.perSecond() >= threshold);
        return readings.stream()
                .filter(reading -> !anyUsual || reading.events() > 0)
                .reduce(EngineRates.Reading::join)
                .orElseThrow();
    }

    /**
     * Evaluates whether an engine is slow after a reading.
     *
     * @param tick The tick.
     * @param engine The engine.
     */
    private void evaluate(Tick tick, EndpointName engine) {
        EngineRates.Verdict verdict = state.speeds().evaluate(engine, tick.now());
        if (verdict != EngineRates.Verdict.UNCHANGED) {
            tick.decide(Decision.of(
                    "engine-rate",
                    engine.value(),
                    verdict.name(),
                    state.speeds().describe(engine, tick.now())));
        }
    }

    /**
     * Moves the items that end earlier at another engine, those with the longest expected remaining time first.
     *
     * @param tick The tick.
     */
    private void moveItems(Tick tick) {
        List<Candidate> candidates = new ArrayList<>();
        long moving = 0;
        for (RunningJob job : state.running().rows()) {
            for (RunningItem item : job.items()) {
                moving += item.isMoving() ? 1 : 0;
                candidate(tick, job, item).ifPresent(candidates::add);
            }
        }
        if (candidates.isEmpty()) {
            return;
        }
        candidates.sort(
                Comparator.comparing((Candidate candidate) -> candidate.gain().item())
                        .reversed());
        removeObservers(candidates);
        candidates.removeIf(candidate -> !candidate.gain().paysOff());
        MoveAllowance allowance = new MoveAllowance(moving);
        Map<BatchJobId, Map<EndpointName, Long>> destinations = new HashMap<>();
        for (Candidate candidate : candidates) {
            Map<EndpointName, Long> freeSlots = destinations.computeIfAbsent(
                    candidate.job().job().id(), _id -> destinations(tick, candidate.job()));
            if (allowance.take(freeSlots)) {
                state.move(tick, candidate.job(), candidate.item(), candidate.reason(state, tick));
            }
        }
    }

    /**
     * Removes the shortest of several items at an engine whose slowdown has just begun, unless the engine is silent.
     *
     * @param candidates The items at slow engines, the longest first.
     */
    private static void removeObservers(List<Candidate> candidates) {
        Map<EndpointName, List<Candidate>> byEngine = candidates.stream()
                .filter(candidate -> candidate.slowdownAge().compareTo(OBSERVATION_TIME) < 0)
                .filter(candidate -> candidate.gain().rateShare() >= EngineRates.SILENT_RATE_SHARE)
                .collect(Collectors.groupingBy(Candidate::engine));
        byEngine.values().stream()
                .filter(items -> items.size() > 1)
                .forEach(items -> candidates.remove(items.get(items.size() - 1)));
    }

    /**
     * Returns an item at a slow engine with what it gains by a move.
     *
     * @param tick The tick.
     * @param job The job.
     * @param item The item.
     * @return The candidate, or empty if the item does not run at an engine that this node's readings show as slow.
     */
    private Optional<Candidate> candidate(Tick tick, RunningJob job, RunningItem item) {
        if (item.isMoving()) {
            return Optional.empty();
        }
        return item.endpoint().flatMap(engine -> state.speeds()
                .observedSlowdown(engine, tick.now())
                .map(slowdown -> new Candidate(
                        job,
                        item,
                        engine,
                        slowdown.age(),
                        new MoveGain(
                                slowdown.expectedRemaining(), expectedRemaining(item, engine), slowdown.rateShare()))));
    }

    /**
     * Estimates the time that an item needs at an engine of usual speed.
     *
     * @param item The item.
     * @param engine The engine that runs it.
     * @return The time.
     */
    private Duration expectedRemaining(RunningItem item, EndpointName engine) {
        EngineTerms terms = state.routes()
                .active()
                .map(configuration -> configuration.engines(engine.pool()))
                .orElse(EngineTerms.UNKNOWN);
        long made = item.receivedEvents();
        boolean isKnown = item.item().expectedTokens() > 0 && !terms.equals(EngineTerms.UNKNOWN);
        long expected = item.item().expectedTokens() / terms.tokensPerEvent();
        long events = isKnown
                ? Math.max(expected - made, made / EXCEEDED_ESTIMATE_DIVISOR)
                : Math.max(made, MINIMUM_UNKNOWN_EVENTS);
        return Duration.ofNanos(
                (long) (1e9 * events / Math.max(1e-3, state.rates().medianRate(engine))));
    }

    /**
     * Returns the free slots of the engines to which items of a job may move.
     *
     * @param tick The tick.
     * @param job The job.
     * @return The free slots of engines that are not known to be slow, or none if most engines are slow: the items
     *     would return to the engines that they left.
     */
    private Map<EndpointName, Long> destinations(Tick tick, RunningJob job) {
        Optional<Route> route = state.route(job.job());
        List<RegisteredEndpoint> engines =
                route.map(found -> choice.engines(tick, job, found)).orElseGet(List::of);
        Map<EndpointName, Long> freeSlots = new HashMap<>();
        int slow = 0;
        for (RegisteredEndpoint engine : engines) {
            boolean isSlow = state.speeds().slowdown(engine.name(), tick.now()).isPresent();
            boolean isOnTrial = state.loads().isOnTrial(engine.name(), job.job().model());
            slow += isSlow ? 1 : 0;
            if (!isSlow && !isOnTrial && choice.freeSlots(engine) > 0) {
                freeSlots.put(engine.name(), choice.freeSlots(engine));
            }
        }
        return 2 * slow > engines.size() ? Map.of() : freeSlots;
    }

    /**
     * An item at a slow engine.
     *
     * @param job The job.
     * @param item The item.
     * @param engine The engine.
     * @param slowdownAge For how long the engine has been slow.
     * @param gain What the item gains by a move.
     */
    private record Candidate(
            RunningJob job, RunningItem item, EndpointName engine, Duration slowdownAge, MoveGain gain) {

        /**
         * Describes why the item moves for logs.
         *
         * @param state The tables of the batch system.
         * @param tick The tick.
         * @return The reason.
         */
        private String reason(BatchState state, Tick tick) {
            return engine.value() + " is slow: " + state.speeds().describe(engine, tick.now()) + ", item needs "
                    + gain.item().toMillis() + " ms, loses "
                    + gain.lossByStaying().toMillis() + " ms by staying";
        }
    }
}
