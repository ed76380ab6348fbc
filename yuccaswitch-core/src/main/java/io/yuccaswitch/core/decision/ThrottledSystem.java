package io.yuccaswitch.core.decision;

import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Runs systems in ticks that have events relevant to them, and otherwise only at the interval that their timers
 * require. Most ticks of an idle node contain only a membership message, and running all systems would make up most of
 * the processor time of such a tick.
 */
public final class ThrottledSystem implements DecisionSystem {

    /** The systems, in the order in which they run. */
    private final List<DecisionSystem> systems;

    /** Matches the events that none of the systems handles. */
    private final Predicate<Event> irrelevant;

    /** Supplies the maximum interval between two runs. */
    private final Supplier<Duration> maximumInterval;

    /** The time from which the systems run regardless of the events. */
    private MonotonicTime dueAt = new MonotonicTime(Long.MIN_VALUE);

    /**
     * Creates a system that runs other systems.
     *
     * @param systems The systems, in the order in which they run.
     * @param irrelevant Matches the events that none of the systems handles.
     * @param maximumInterval Supplies the maximum interval between two runs.
     */
    public ThrottledSystem(
            List<DecisionSystem> systems, Predicate<Event> irrelevant, Supplier<Duration> maximumInterval) {
        this.systems = List.copyOf(systems);
        this.irrelevant = irrelevant;
        this.maximumInterval = maximumInterval;
    }

    @Override
    public void run(Tick tick) {
        if (tick.now().isBefore(dueAt) && tick.hasOnly(irrelevant)) {
            return;
        }
        dueAt = tick.now().plus(maximumInterval.get());
        systems.forEach(system -> system.run(tick));
    }
}
