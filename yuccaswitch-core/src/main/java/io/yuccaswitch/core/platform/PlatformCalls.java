package io.yuccaswitch.core.platform;

import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.time.MonotonicTime;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.LongFunction;

/** The pending calls to the platform of a system, each with a callback for its answer. */
public final class PlatformCalls {

    /** Allocates the tokens of calls. */
    private final PlatformTokens tokens;

    /** The pending calls, by their tokens. */
    private final Map<Long, PendingCall> pending = new TreeMap<>();

    /**
     * Creates a table without calls.
     *
     * @param tokens Allocates the tokens of calls.
     */
    public PlatformCalls(PlatformTokens tokens) {
        this.tokens = tokens;
    }

    /**
     * Makes a call.
     *
     * @param tick The tick in which the call is made.
     * @param call Builds the call from its token.
     * @param callback The callback, which runs in the tick in which the answer arrives.
     */
    public void call(Tick tick, LongFunction<PlatformEffect> call, BiConsumer<Tick, PlatformEvent> callback) {
        call(tick, Optional.empty(), call, callback);
    }

    /**
     * Makes a call with a deadline. A call without an answer at the deadline is treated as unavailable. It may have
     * taken effect or may still do so, and its answer is ignored.
     *
     * @param tick The tick in which the call is made.
     * @param deadline The deadline.
     * @param call Builds the call from its token.
     * @param callback The callback, which runs at the latest in the first tick after the deadline.
     */
    public void call(
            Tick tick,
            MonotonicTime deadline,
            LongFunction<PlatformEffect> call,
            BiConsumer<Tick, PlatformEvent> callback) {
        call(tick, Optional.of(deadline), call, callback);
    }

    /**
     * Makes a call.
     *
     * @param tick The tick in which the call is made.
     * @param deadline The deadline, or empty if there is none.
     * @param call Builds the call from its token.
     * @param callback The callback for the answer.
     */
    private void call(
            Tick tick,
            Optional<MonotonicTime> deadline,
            LongFunction<PlatformEffect> call,
            BiConsumer<Tick, PlatformEvent> callback) {
        long token = tokens.next();
        pending.put(token, new PendingCall(deadline, callback));
        tick.emit(call.apply(token));
    }

    /**
     * Runs the callbacks of the calls that were answered in a tick or whose deadlines have passed.
     *
     * @param tick The tick.
     */
    public void processAnswers(Tick tick) {
        for (PlatformEvent event : tick.events(PlatformEvent.class)) {
            PendingCall answered = pending.remove(event.token());
            if (answered != null) {
                answered.callback().accept(tick, event);
            }
        }
        List<Long> overdue = pending.entrySet().stream()
                .filter(entry -> entry.getValue().isOverdue(tick.now()))
                .map(Map.Entry::getKey)
                .toList();
        for (Long token : overdue) {
            PlatformEvent event = new PlatformEvent.Unavailable(token, true, "no answer by the deadline");
            pending.remove(token).callback().accept(tick, event);
        }
    }

    /**
     * A pending call.
     *
     * @param deadline The deadline, or empty if there is none.
     * @param callback The callback for the answer.
     */
    private record PendingCall(Optional<MonotonicTime> deadline, BiConsumer<Tick, PlatformEvent> callback) {

        /**
         * Returns whether the deadline has passed.
         *
         * @param now The current time.
         * @return {@code true} if it has.
         */
        private boolean isOverdue(MonotonicTime now) {
            return deadline.filter(end -> !now.isBefore(end)).isPresent();
        }
    }
}
