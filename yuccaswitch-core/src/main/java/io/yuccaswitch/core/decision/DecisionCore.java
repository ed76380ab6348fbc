package io.yuccaswitch.core.decision;

import io.yuccaswitch.core.time.MonotonicTime;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The entry point of the decision core: an ordered list of systems that run once in each tick. An instance is confined
 * to the thread that ticks it and depends on nothing but the values it is given, such that a test can drive several of
 * them together with events and times of its own.
 */
public final class DecisionCore {

    /** The systems, in the order in which they run. */
    private final List<DecisionSystem> systems;

    /** The seeded source of randomness. */
    private final SplittableRandom random;

    /**
     * Creates a new decision core.
     *
     * @param systems The systems, in the order in which they run.
     * @param seed The seed of the core's only source of randomness.
     */
    public DecisionCore(List<DecisionSystem> systems, long seed) {
        this.systems = List.copyOf(systems);
        random = new SplittableRandom(seed);
    }

    /**
     * Runs all systems once.
     *
     * @param now The monotonic time of the tick, never before the time of the tick before.
     * @param events The events that arrived since the tick before, in the order of their arrival.
     * @return The effects and decisions that the tick brought about.
     */
    public TickResult tick(MonotonicTime now, List<? extends Event> events) {
        Tick tick = new Tick(now, events, random);
        for (DecisionSystem system : systems) {
            system.run(tick);
        }
        return tick.result();
    }
}
