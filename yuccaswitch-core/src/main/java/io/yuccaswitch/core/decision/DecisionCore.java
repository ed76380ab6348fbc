package io.yuccaswitch.core.decision;

import io.yuccaswitch.core.time.MonotonicTime;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The entry point of the decision core: an ordered list of systems that run once in each tick. An instance is confined
 * to the thread that ticks it and depends only on the values that are passed to it, so that a test can run several
 * instances with its own events and times.
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
     * @param now The monotonic time of the tick, which must not be before that of the previous tick.
     * @param events The events that arrived since the previous tick, in the order of their arrival.
     * @return The effects and decisions of the tick.
     */
    public TickResult tick(MonotonicTime now, List<? extends Event> events) {
        Tick tick = new Tick(now, events, random);
        for (DecisionSystem system : systems) {
            system.run(tick);
        }
        return tick.result();
    }
}
