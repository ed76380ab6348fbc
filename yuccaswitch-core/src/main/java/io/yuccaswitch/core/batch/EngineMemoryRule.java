package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.WeakHashMap;

/**
 * Starts items at engines that have memory for their whole outputs, and places long items at different engines. An item
 * for which no engine has room waits no longer than until one is expected to have room, and then goes to the engine
 * with the most room.
 */
final class EngineMemoryRule implements PlacementRule {

    /** The maximum time that an item waits for memory: an item must start within 1 s, including decision and start. */
    private static final Duration MAXIMUM_WAIT = Duration.ofMillis(900);

    /**
     * The delay of a long item for each long item that is already at the engine. It exceeds the time to read a shared
     * prompt again and is far below the duration of an item.
     */
    private static final double LONG_ITEM_PENALTY_SECONDS = 0.05;

    /** The tables of the batch system. */
    private final BatchState state;

    /** The memory of the engines. */
    private final EngineMemory memory;

    /** The items that wait for memory or have waited, which are removed with their jobs. */
    private final Map<RunningItem, Wait> waits = new WeakHashMap<>();

    /**
     * Creates a rule.
     *
     * @param state The tables of the batch system.
     */
    EngineMemoryRule(BatchState state) {
        this.state = state;
        memory = new EngineMemory(state);
    }

    @Override
    public boolean allows(Placement placement, RegisteredEndpoint engine) {
        return memory.fits(placement.job(), placement.item(), engine);
    }

    @Override
    public List<RegisteredEndpoint> filter(Placement placement, List<RegisteredEndpoint> engines) {
        List<RegisteredEndpoint> fitting =
                engines.stream().filter(engine -> allows(placement, engine)).toList();
        if (!fitting.isEmpty() || engines.isEmpty() || !isWaitOver(placement, engines)) {
            return fitting;
        }
        return engines.stream()
                .min(Comparator.comparingLong(engine -> memory.excess(placement.job(), placement.item(), engine)))
                .map(List::of)
                .orElseGet(List::of);
    }

    @Override
    public double delaySeconds(Placement placement, RegisteredEndpoint engine) {
        if (memory.capacity(engine.pool()) == 0) {
            return 0;
        }
        long excess = memory.excess(placement.job(), placement.item(), engine);
        double preemption = Math.max(0, excess) / Math.max(1, memory.tokensPerSecond());
        return preemption + LONG_ITEM_PENALTY_SECONDS * longItems(placement, engine);
    }

    @Override
    public Optional<Decision> explain(Placement placement, RegisteredEndpoint engine) {
        Optional<Duration> waited =
                Optional.ofNullable(waits.get(placement.item())).flatMap(wait -> wait.end(placement.now()));
        boolean fits = allows(placement, engine);
        if (fits && waited.isEmpty()) {
            return Optional.empty();
        }
        String reason = "needs " + memory.need(placement.job(), placement.item(), engine) + ", "
                + memory.describe(engine.name()) + ", waited "
                + waited.orElse(Duration.ZERO).toMillis() + " ms";
        return Optional.of(Decision.of(
                "engine-memory",
                placement.item().item().id(),
                (fits ? "start at " : "exceed at ") + engine.name().value(),
                reason));
    }

    /**
     * Returns the number of long items at an engine, for a long item. The tokens that other nodes report count as items
     * of the same length.
     *
     * @param placement The start of the item.
     * @param engine The engine.
     * @return The number, or 0 if the item is not long.
     */
    private double longItems(Placement placement, RegisteredEndpoint engine) {
        long share = memory.capacity(engine.pool()) / Math.max(1, engine.slots());
        long expected = memory.expected(placement.job(), placement.item(), engine.pool());
        if (expected <= share) {
            return 0;
        }
        long own = memory.usage(engine.name()).runs().stream()
                .filter(run -> run.expected() > share)
                .count();
        return own + (double) state.remoteLoads().tokens(engine.name()) / expected;
    }

    /**
     * Returns whether an item for which no engine has room must start nevertheless.
     *
     * @param placement The start of the item.
     * @param engines The engines with a free slot.
     * @return {@code true} if nothing of its job runs, no engine can ever have room, or it has waited for as long as
     *     was expected when it began to wait.
     */
    private boolean isWaitOver(Placement placement, List<RegisteredEndpoint> engines) {
        boolean idle = placement.job().items().stream()
                .noneMatch(item -> item.endpoint().isPresent());
        boolean hopeless = engines.stream()
                .allMatch(engine ->
                        memory.need(placement.job(), placement.item(), engine) > memory.capacity(engine.pool()));
        if (idle || hopeless) {
            return true;
        }
        return waits.computeIfAbsent(placement.item(), _item -> new Wait(maximumWait(placement, engines)))
                .isOver(placement.now());
    }

    /**
     * Returns how long an item waits for memory.
     *
     * @param placement The start of the item.
     * @param engines The engines with a free slot.
     * @return The shortest time until one of them is expected to have room, at most {@link #MAXIMUM_WAIT}.
     */
    private Duration maximumWait(Placement placement, List<RegisteredEndpoint> engines) {
        double seconds = engines.stream()
                .map(engine -> secondsUntilRoom(placement, engine))
                .flatMapToDouble(OptionalDouble::stream)
                .min()
                .orElse(Double.MAX_VALUE);
        return seconds < MAXIMUM_WAIT.toMillis() / 1e3 ? Duration.ofMillis((long) (seconds * 1e3)) : MAXIMUM_WAIT;
    }

    /**
     * Returns the time until an engine is expected to have room because items of this node end there.
     *
     * @param placement The start of the item.
     * @param engine The engine.
     * @return The time in seconds, or empty if the ends of these items do not make enough room.
     */
    private OptionalDouble secondsUntilRoom(Placement placement, RegisteredEndpoint engine) {
        long missing = memory.excess(placement.job(), placement.item(), engine);
        double rate = memory.tokensPerSecond();
        List<EngineMemory.Run> byEnd = memory.usage(engine.name()).runs().stream()
                .sorted(Comparator.comparingDouble(run -> run.remainingSeconds(rate)))
                .toList();
        for (EngineMemory.Run run : byEnd) {
            missing -= run.expected();
            if (missing <= 0) {
                return OptionalDouble.of(run.remainingSeconds(rate));
            }
        }
        return OptionalDouble.empty();
    }

    /** The time that an item waits for memory, which does not begin anew after a refusal or a move. */
    private static final class Wait {

        /** How long the item may still wait. */
        private Duration remaining;

        /** When it began to wait, if it waits. */
        private Optional<MonotonicTime> since = Optional.empty();

        /**
         * Creates the wait of an item.
         *
         * @param maximum How long the item may wait.
         */
        private Wait(Duration maximum) {
            remaining = maximum;
        }

        /**
         * Begins to wait, or continues.
         *
         * @param now The current time.
         * @return Whether the item has waited for long enough.
         */
        private boolean isOver(MonotonicTime now) {
            since = Optional.of(since.orElse(now));
            return now.since(since.get()).compareTo(remaining) >= 0;
        }

        /**
         * Ends the wait because the item starts.
         *
         * @param now The current time.
         * @return How long it waited, or empty if it did not.
         */
        private Optional<Duration> end(MonotonicTime now) {
            Optional<Duration> waited = since.map(now::since);
            since = Optional.empty();
            waited.ifPresent(
                    time -> remaining = remaining.minus(time).isNegative() ? Duration.ZERO : remaining.minus(time));
            return waited;
        }
    }
}
