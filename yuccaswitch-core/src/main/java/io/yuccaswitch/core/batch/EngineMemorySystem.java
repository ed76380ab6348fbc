package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.route.Route;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Learns the lengths of finished items, and moves an item from an engine that is about to run out of memory because its
 * items grow, before the engine preempts one of them. Moves require another engine with room for the whole item.
 */
final class EngineMemorySystem implements DecisionSystem {

    /** How far growth is projected: the engine must not run out before a move at one of the next readings. */
    private static final double PROJECTION_SECONDS = 1;

    /** The minimum time between two moves from an engine: a reading arrives every 250 ms, with some jitter. */
    private static final Duration MOVE_INTERVAL = Duration.ofMillis(240);

    /** The share of its output from which an item is not moved, because it ends soon. */
    private static final double LAST_TENTH = 0.9;

    /** The tables of the batch system. */
    private final BatchState state;

    /** The memory of the engines. */
    private final EngineMemory memory;

    /** Chooses engines. */
    private final EngineChoice choice;

    /** When an item was last moved from an engine. */
    private final Map<EndpointName, MonotonicTime> movedAt = new HashMap<>();

    /**
     * Creates a system.
     *
     * @param state The tables of the batch system.
     */
    EngineMemorySystem(BatchState state) {
        this.state = state;
        memory = new EngineMemory(state);
        choice = new EngineChoice(state);
    }

    @Override
    public void run(Tick tick) {
        if (!state.options().engineMemory() && !state.options().stepOrder()) {
            return;
        }
        tick.events(BatchEvent.AttemptEnded.class).forEach(this::learn);
        if (!state.options().engineMemory()
                || tick.events(BatchEvent.Progressed.class).isEmpty()) {
            return;
        }
        state.lengths().advance();
        movedAt.values().removeIf(at -> tick.now().since(at).compareTo(MOVE_INTERVAL) >= 0);
        double made = projectedShare();
        memory.usages().forEach((engine, usage) -> relieve(tick, engine, usage, made));
    }

    /**
     * Learns the length of a finished item.
     *
     * @param ended The end of its attempt.
     */
    private void learn(BatchEvent.AttemptEnded ended) {
        if (!(ended.outcome() instanceof AttemptOutcome.Completed)) {
            return;
        }
        Optional<RunningJob> job = state.running().find(ended.id());
        Optional<RunningItem> item =
                job.flatMap(found -> found.find(ended.item())).filter(found -> found.isCurrent(ended.attempt()));
        if (item.isPresent()) {
            long events = ended.text().isEmpty()
                    ? item.get().text().lastEventId()
                    : ended.text().lastEventId();
            long tokens =
                    memory.tokens(events, item.get().endpoint().orElseThrow().pool());
            state.lengths().finish(job.get().job(), item.get().item().group(), tokens);
        }
    }

    /**
     * Returns the share of the expected outputs of this node's items that they will have made when growth is projected.
     * It also applies to the tokens that other nodes report, which are those of whole outputs: steps of several
     * trainers tend to start together.
     *
     * @return The share.
     */
    private double projectedShare() {
        long expected = 0;
        long projected = 0;
        for (EngineMemory.Usage usage : memory.usages().values()) {
            expected += usage.expected();
            projected += projected(usage.runs());
        }
        return expected == 0 ? 1 : (double) projected / expected;
    }

    /**
     * Returns the tokens that items are expected to occupy after the time for which growth is projected.
     *
     * @param runs The items.
     * @return The number of tokens.
     */
    private long projected(List<EngineMemory.Run> runs) {
        return EngineMemory.sum(runs, run -> run.projected(PROJECTION_SECONDS, memory.tokensPerSecond()));
    }

    /**
     * Moves an item from an engine that is expected to run out of memory.
     *
     * @param tick The tick.
     * @param engine The engine.
     * @param usage The items of this node there.
     * @param remoteShare The share of the reported tokens that items of other nodes will have made.
     */
    private void relieve(Tick tick, EndpointName engine, EngineMemory.Usage usage, double remoteShare) {
        long capacity = memory.capacity(engine.pool());
        if (capacity == 0 || movedAt.containsKey(engine)) {
            return;
        }
        List<EngineMemory.Run> staying =
                usage.runs().stream().filter(run -> !run.item().isMoving()).toList();
        long projected = projected(staying) + (long) (state.remoteLoads().tokens(engine) * remoteShare);
        if (projected <= capacity) {
            return;
        }
        staying.stream()
                .filter(run -> run.made() < run.expected() * LAST_TENTH)
                .sorted(Comparator.comparingDouble(run -> cost(run, staying)))
                .filter(run -> hasDestination(tick, run, engine))
                .findFirst()
                .ifPresent(run -> {
                    movedAt.put(engine, tick.now());
                    String reason = engine.value() + " is expected to hold " + projected + " within "
                            + PROJECTION_SECONDS + " s, " + memory.describe(engine);
                    tick.decide(Decision.of(
                            "engine-memory",
                            engine.value(),
                            "move " + run.item().item().id(),
                            reason));
                    state.move(tick, run.job(), run.item(), reason);
                });
    }

    /**
     * Returns the cost of moving an item.
     *
     * @param run The item.
     * @param others The items at its engine.
     * @return The tokens of prompt and text that the destination reads again, per token that the engine no longer has
     *     to hold.
     */
    private static double cost(EngineMemory.Run run, List<EngineMemory.Run> others) {
        BatchItem item = run.item().item();
        boolean sharesPrompt =
                others.stream().anyMatch(other -> other.item() != run.item() && other.hasGroup(run.job(), item));
        long freed = run.expected() + (sharesPrompt ? 0 : item.promptTokens());
        return (double) (item.promptTokens() + run.made()) / Math.max(1, freed);
    }

    /**
     * Returns whether more engines can take an item than items are being moved, where the item resumes after its text.
     *
     * @param tick The tick.
     * @param run The item.
     * @param source The engine that it would leave.
     * @return {@code true} if one has a free slot and room for the whole item.
     */
    private boolean hasDestination(Tick tick, EngineMemory.Run run, EndpointName source) {
        Optional<Route> route = state.route(run.job().job()).filter(Route::resumable);
        if (route.isEmpty() || route.get().requiresSingleVersion()) {
            return false;
        }
        long moving = state.running().view().stream()
                .flatMap(job -> job.items().stream())
                .filter(RunningItem::isMoving)
                .count();
        long destinations = choice.engines(tick, run.job(), route.get()).stream()
                .filter(engine -> !engine.name().equals(source))
                .filter(engine -> choice.freeSlots(engine) > 0 && !choice.isSlow(tick, engine.name()))
                .filter(engine ->
                        !state.loads().isOnTrial(engine.name(), run.job().job().model()))
                .filter(engine -> memory.fits(run.job(), run.item(), engine))
                .count();
        return destinations > moving;
    }
}
