package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import io.yuccaswitch.core.route.Route;
import io.yuccaswitch.core.time.MonotonicTime;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.ToLongFunction;

/**
 * Starts the items of jobs in the order of their urgency and slack, and the items that no trainer waits for after all
 * others. The order is derived from the tables on every tick and nothing of it is stored, so another node that takes
 * over a job orders its items by the same rule.
 */
final class SlackDispatchOrder implements DispatchOrder {

    /** The number of starts of other steps after which the latest step is entitled to a slot of a small pool. */
    private static final int STARTS_PER_TURN = 3;

    /** The tables of the batch system. */
    private final BatchState state;

    /** Chooses engines. */
    private final EngineChoice choice;

    /** Reads steps. */
    private final StepReader reader;

    /** The steps of this node that wait for slots, by job, in the order in which they get them. */
    private Map<BatchJobId, Waiting> waiting = new LinkedHashMap<>();

    /** The time of the current tick. */
    private MonotonicTime now = new MonotonicTime(0);

    /** The number of starts since the latest step of this node started an item. */
    private int startsOfOthers;

    /** Count the slots that stay free although they are left to others. */
    private final Map<TimerKey, YieldTimer> timers = new HashMap<>();

    /** The last logged position of each job. */
    private final Map<BatchJobId, Position> logged = new HashMap<>();

    /**
     * Creates an order.
     *
     * @param state The tables of the batch system.
     * @param choice Chooses engines.
     */
    SlackDispatchOrder(BatchState state, EngineChoice choice) {
        this.state = state;
        this.choice = choice;
        reader = new StepReader(state);
    }

    @Override
    public List<Share> shares(Tick tick) {
        now = tick.now();
        List<RunningJob> jobs = state.running().rows();
        waiting = new LinkedHashMap<>();
        List<Waiting> steps = new ArrayList<>();
        for (RunningJob job : jobs) {
            Optional<Route> route = state.route(job.job());
            if (route.isPresent() && !job.waiting().isEmpty()) {
                ItemOrder items = reader.items(job, route.get());
                Step counting = reader.counting(job, route.get(), items, tick.now());
                steps.add(new Waiting(
                        job, items, counting, reader.spare(job, items), reader.competingModels(job, route.get())));
            }
        }
        Map<Waiting, StepOrder> orders = new HashMap<>();
        steps.forEach(step -> orders.put(step, order(step, steps)));
        StepOrder all = new StepOrder(steps.stream().map(Waiting::counting).toList());
        steps.stream()
                .sorted(Comparator.comparingInt(
                                (Waiting step) -> step.counting().priority())
                        .thenComparing(step -> orders.get(step).isLatest(step.counting()))
                        .thenComparing(Waiting::counting, all::compare))
                .forEach(step -> waiting.put(step.job().job().id(), step));
        waiting.values().forEach(step -> log(tick, step, orders.get(step)));
        logged.keySet().removeIf(id -> state.running().find(id).isEmpty());
        timers.keySet().removeIf(key -> state.running().find(key.id()).isEmpty());
        return toShares(jobs);
    }

    @Override
    public long startable(Tick tick, Share share, List<RegisteredEndpoint> engines) {
        if (choice.awaitsReports(tick, share.job())) {
            return 0;
        }
        Waiting step = waiting.get(share.job().job().id());
        StepOrder order = order(step, waiting.values());
        long free = choice.freeSlots(engines);
        long slots = engines.stream().mapToLong(RegisteredEndpoint::slots).sum();
        ToLongFunction<String> usable = model -> usableSlots(engines, model);
        if (isSpare(share)) {
            List<Step> others = new ArrayList<>(elsewhere(step));
            waiting.values().stream()
                    .filter(other -> step.models().contains(other.counting().model()))
                    .forEach(other -> others.add(other.counting().withWaiting(other.stillWaiting())));
            return limit(tick, share, free, order.startable(step.spare(), others, free, slots, false, usable));
        }
        boolean turn = startsOfOthers >= STARTS_PER_TURN;
        return limit(tick, share, free, order.startable(step.counting(), elsewhere(step), free, slots, turn, usable));
    }

    @Override
    public void recordStart(Share share) {
        Waiting step = waiting.get(share.job().job().id());
        boolean latest = order(step, waiting.values()).isLatest(step.counting()) && !isSpare(share);
        startsOfOthers = latest ? 0 : startsOfOthers + 1;
    }

    /**
     * Returns how many free slots items of a model can use. Engines are mostly kept up to date for one model each, so
     * items of the other models can't run there.
     *
     * @param engines The engines.
     * @param model The model.
     * @return The number of free slots at the engines that serve the model's newest version or the one before.
     */
    private long usableSlots(List<RegisteredEndpoint> engines, String model) {
        OptionalLong newest = engines.stream()
                .map(RegisteredEndpoint::pool)
                .distinct()
                .flatMap(pool -> state.registry().working(pool).stream())
                .flatMapToLong(engine -> engine.version(model).stream())
                .max();
        return newest.isEmpty()
                ? 0
                : choice.freeSlots(engines.stream()
                        .filter(engine -> engine.servesAtLeast(model, newest.getAsLong() - 1))
                        .toList());
    }

    /**
     * Returns how many items of a share may start. Slots that are left to others and stay free may be taken after the
     * usual time.
     *
     * @param tick The tick.
     * @param share The share.
     * @param free The number of free slots.
     * @param startable The number of free slots that are not left to others.
     * @return The number, not negative.
     */
    private long limit(Tick tick, Share share, long free, long startable) {
        YieldTimer timer =
                timers.computeIfAbsent(new TimerKey(share.job().job().id(), isSpare(share)), _key -> new YieldTimer());
        if (startable > 0) {
            timer.reset();
            return startable;
        }
        return timer.leave(free, tick.now(), EngineChoice.YIELD_TIMEOUT);
    }

    /**
     * Returns whether no trainer waits for the items of a share.
     *
     * @param share The share.
     * @return {@code true} if none does.
     */
    private static boolean isSpare(Share share) {
        return share.priority().orElse(0) == Step.SPARE_PRIORITY;
    }

    /**
     * Returns the shares of jobs: the items that count of all jobs, and then the other items.
     *
     * @param jobs The jobs of this node.
     * @return The shares.
     */
    private List<Share> toShares(Collection<RunningJob> jobs) {
        List<Share> shares = new ArrayList<>();
        for (RunningJob job : jobs) {
            if (!waiting.containsKey(job.job().id())) {
                shares.add(new Share(job, List.of(), OptionalInt.empty()));
            }
        }
        for (Waiting step : waiting.values()) {
            shares.add(new Share(
                    step.job(),
                    step.rows(step.items().counting()),
                    OptionalInt.of(step.counting().priority())));
        }
        for (Waiting step : waiting.values()) {
            if (step.spare().waiting() > 0) {
                shares.add(new Share(step.job(), step.rows(step.items().spare()), OptionalInt.of(Step.SPARE_PRIORITY)));
            }
        }
        return shares;
    }

    /**
     * Returns the order of the steps that compete for the engines of a step.
     *
     * @param step The step.
     * @param own The steps of this node.
     * @return The order.
     */
    private StepOrder order(Waiting step, Collection<Waiting> own) {
        List<Step> competing = new ArrayList<>();
        competing.add(step.counting());
        own.stream()
                .filter(other -> other.job() != step.job())
                .map(Waiting::counting)
                .filter(other -> step.models().contains(other.model()))
                .forEach(competing::add);
        return new StepOrder(competing, elsewhere(step));
    }

    /**
     * Returns the steps of other nodes that compete for the engines of a step.
     *
     * @param step The step.
     * @return The steps.
     */
    private List<Step> elsewhere(Waiting step) {
        return state.remoteLoads().steps(step.models(), step.counting(), now);
    }

    /**
     * Logs a change of the position of a step.
     *
     * @param tick The tick.
     * @param step The step.
     * @param order The order of the steps that compete with it.
     */
    private void log(Tick tick, Waiting step, StepOrder order) {
        Step counting = step.counting();
        boolean preceded = elsewhere(step).stream().anyMatch(other -> order.compare(other, counting) < 0)
                || waiting.values().stream()
                        .takeWhile(other -> other.job() != step.job())
                        .anyMatch(
                                other -> step.models().contains(other.counting().model()));
        Position position = order.isLatest(counting) ? Position.LATEST : preceded ? Position.LATER : Position.FIRST;
        BatchJobId id = step.job().job().id();
        if (position != logged.put(id, position)) {
            int nodes = state.remoteLoads().nodes().size();
            tick.decide(Decision.of(
                    "step-order",
                    id.value(),
                    position.name(),
                    "priority " + counting.priority() + " slack "
                            + (counting.hasDueTime() ? counting.slackMillis() + " ms" : "unknown, no due time")
                            + " waiting " + counting.waiting() + " spare "
                            + step.spare().waiting()
                            + (nodes == 0 ? ", no reports of other nodes" : ", reports of " + nodes + " nodes")));
        }
    }

    /** The position of a step among those that wait for the same engines. */
    private enum Position {
        /** No other step precedes it. */
        FIRST,
        /** Another step precedes it. */
        LATER,
        /** It gives way because it is the latest of several that can't meet their due times. */
        LATEST
    }

    /**
     * Identifies the items that leave slots to others.
     *
     * @param id The job.
     * @param spare Whether no trainer waits for the items.
     */
    private record TimerKey(BatchJobId id, boolean spare) {}

    /**
     * A job of this node that waits for slots.
     *
     * @param job The job.
     * @param items The order of its items.
     * @param counting The step of the items that its trainer waits for.
     * @param spare The step of the other items.
     * @param models The models whose jobs compete for the same engines.
     */
    private record Waiting(RunningJob job, ItemOrder items, Step counting, Step spare, Set<String> models) {

        /**
         * Returns the rows of items.
         *
         * @param ids The identifiers of the items.
         * @return The rows.
         */
        List<RunningItem> rows(List<String> ids) {
            return ids.stream().flatMap(id -> job.find(id).stream()).toList();
        }

        /**
         * Returns how many of the items that count have not started on this tick.
         *
         * @return The number.
         */
        int stillWaiting() {
            return (int) rows(items.counting()).stream()
                    .filter(RunningItem::isWaiting)
                    .count();
        }
    }
}
