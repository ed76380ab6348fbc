package io.yuccaswitch.core.decision;

import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Runs systems in ticks whose events may concern them, and otherwise only as often as their timers need. Most ticks of
 * an idle node bring a message of the membership and nothing else, and running all systems is what such a tick costs.
 */
public final class PacedSystem implements DecisionSystem {

    /** The systems, in the order in which they run. */
    private final List<DecisionSystem> systems;

    /** Recognizes the events that none of the systems looks at. */
    private final Predicate<Event> foreign;

    /** The longest pause between two runs. */
    private final Supplier<Duration> pace;

    /** When the systems run in any case. */
    private MonotonicTime due = new MonotonicTime(Long.MIN_VALUE);

    /**
     * Creates a system that runs others.
     *
     * @param systems The systems, in the order in which they run.
     * @param foreign Recognizes the events that none of the systems looks at.
     * @param pace The longest pause between two runs.
     */
    public PacedSystem(List<DecisionSystem> systems, Predicate<Event> foreign, Supplier<Duration> pace) {
        this.systems = List.copyOf(systems);
        this.foreign = foreign;
        this.pace = pace;
    }

    @Override
    public void run(Tick tick) {
        if (tick.now().isBefore(due) && tick.hasOnly(foreign)) {
            return;
        }
        due = tick.now().plus(pace.get());
        systems.forEach(system -> system.run(tick));
    }
}
