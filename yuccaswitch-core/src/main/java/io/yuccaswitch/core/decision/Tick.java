package io.yuccaswitch.core.decision;

import io.yuccaswitch.core.time.MonotonicTime;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/** One tick of the decision core, with its time and events, which collects effects and decisions. */
public final class Tick {

    /** The monotonic time at which this tick runs. */
    private final MonotonicTime now;

    /** The events of this tick, including those that systems have raised. */
    private final List<Event> events;

    /** The seeded source of randomness. */
    private final SplittableRandom random;

    /** The effects that were emitted so far. */
    private final List<Effect> effects = new ArrayList<>();

    /** The decisions that were recorded so far. */
    private final List<Decision> decisions = new ArrayList<>();

    /**
     * Creates a new tick.
     *
     * @param now The monotonic time at which the tick runs.
     * @param events The events that arrived since the previous tick.
     * @param random The seeded source of randomness that systems use.
     */
    public Tick(MonotonicTime now, List<? extends Event> events, SplittableRandom random) {
        this.now = now;
        this.events = new ArrayList<>(events);
        this.random = random;
    }

    /**
     * Returns the monotonic time of this tick.
     *
     * @return The monotonic time of this tick.
     */
    public MonotonicTime now() {
        return now;
    }

    /**
     * Returns the seeded source of randomness.
     *
     * @return The seeded source of randomness.
     */
    public SplittableRandom random() {
        return random;
    }

    /**
     * Returns the events of a type, in the order of their arrival.
     *
     * @param type The type of the events to return.
     * @param <T> The type of the events to return.
     * @return A copy of the events of this type.
     */
    public <T extends Event> List<T> events(Class<T> type) {
        List<T> matching = List.of();
        for (Event event : events) {
            if (type.isInstance(event)) {
                matching = matching.isEmpty() ? new ArrayList<>() : matching;
                matching.add(type.cast(event));
            }
        }
        return matching;
    }

    /**
     * Returns whether all events of this tick so far match a predicate.
     *
     * @param predicate The predicate.
     * @return {@code true} if all events match or there are none.
     */
    public boolean hasOnly(Predicate<Event> predicate) {
        return events.stream().allMatch(predicate);
    }

    /**
     * Raises an event for the systems that run after this one in the same tick.
     *
     * @param event The event to raise.
     */
    public void raise(Event event) {
        events.add(event);
    }

    /**
     * Emits an effect for the shell to execute.
     *
     * @param effect The effect to emit.
     */
    public void emit(Effect effect) {
        effects.add(effect);
    }

    /**
     * Records a decision.
     *
     * @param decision The decision to record.
     */
    public void decide(Decision decision) {
        decisions.add(decision);
    }

    /**
     * Returns the result of this tick so far.
     *
     * @return The effects and decisions so far.
     */
    public TickResult result() {
        return new TickResult(effects, decisions);
    }
}
