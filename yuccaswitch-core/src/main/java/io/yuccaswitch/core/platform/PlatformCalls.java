package io.yuccaswitch.core.platform;

import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.time.MonotonicTime;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.LongFunction;

/** The calls to the platform that a system waits for, each with what follows its answer. */
public final class PlatformCalls {

    /** Hands out the tokens of calls. */
    private final PlatformTokens tokens;

    /** The calls, by their tokens. */
    private final Map<Long, Waiting> waiting = new TreeMap<>();

    /**
     * Creates a table without calls.
     *
     * @param tokens Hands out the tokens of calls.
     */
    public PlatformCalls(PlatformTokens tokens) {
        this.tokens = tokens;
    }

    /**
     * Makes a call.
     *
     * @param tick The tick in which the call is made.
     * @param call Builds the call from its token.
     * @param then What follows the answer, in the tick in which it arrives.
     */
    public void call(Tick tick, LongFunction<PlatformEffect> call, BiConsumer<Tick, PlatformEvent> then) {
        call(tick, Optional.empty(), call, then);
    }

    /**
     * Makes a call that has to be over by a deadline. A call that is not counts as unavailable then, and may have taken
     * effect or may still do so; its answer is ignored.
     *
     * @param tick The tick in which the call is made.
     * @param deadline The deadline.
     * @param call Builds the call from its token.
     * @param then What follows the answer, at the latest in the first tick after the deadline.
     */
    public void call(
            Tick tick,
            MonotonicTime deadline,
            LongFunction<PlatformEffect> call,
            BiConsumer<Tick, PlatformEvent> then) {
        call(tick, Optional.of(deadline), call, then);
    }

    /**
     * Makes a call.
     *
     * @param tick The tick in which the call is made.
     * @param deadline The deadline, or empty if there is none.
     * @param call Builds the call from its token.
     * @param then What follows the answer.
     */
    private void call(
            Tick tick,
            Optional<MonotonicTime> deadline,
            LongFunction<PlatformEffect> call,
            BiConsumer<Tick, PlatformEvent> then) {
        long token = tokens.next();
        waiting.put(token, new Waiting(deadline, then));
        tick.emit(call.apply(token));
    }

    /**
     * Carries out what follows the answers of a tick, and what follows the deadlines that have passed.
     *
     * @param tick The tick.
     */
    public void answer(Tick tick) {
        for (PlatformEvent event : tick.events(PlatformEvent.class)) {
            Waiting answered = waiting.remove(event.token());
            if (answered != null) {
                answered.then().accept(tick, event);
            }
        }
        List<Long> overdue = waiting.entrySet().stream()
                .filter(entry -> entry.getValue().isOverdue(tick.now()))
                .map(Map.Entry::getKey)
                .toList();
        for (Long token : overdue) {
            PlatformEvent event = new PlatformEvent.Unavailable(token, true, "no answer by the deadline");
            waiting.remove(token).then().accept(tick, event);
        }
    }

    /**
     * A call that waits for its answer.
     *
     * @param deadline The deadline, or empty if there is none.
     * @param then What follows the answer.
     */
    private record Waiting(Optional<MonotonicTime> deadline, BiConsumer<Tick, PlatformEvent> then) {

        /**
         * Returns whether the deadline has passed.
         *
         * @param now The present.
         * @return {@code true} if it has.
         */
        private boolean isOverdue(MonotonicTime now) {
            return deadline.filter(end -> !now.isBefore(end)).isPresent();
        }
    }
}
