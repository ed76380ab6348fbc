package io.yuccaswitch.core.platform;

import io.yuccaswitch.core.decision.Tick;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.LongFunction;

/** The calls to the platform that a system waits for, each with what follows its answer. */
public final class PlatformCalls {

    /** Hands out the tokens of calls. */
    private final PlatformTokens tokens;

    /** What follows the answers, by the tokens of the calls. */
    private final Map<Long, BiConsumer<Tick, PlatformEvent>> waiting = new HashMap<>();

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
        long token = tokens.next();
        waiting.put(token, then);
        tick.emit(call.apply(token));
    }

    /**
     * Carries out what follows the answers of a tick.
     *
     * @param tick The tick.
     */
    public void answer(Tick tick) {
        for (PlatformEvent event : tick.events(PlatformEvent.class)) {
            BiConsumer<Tick, PlatformEvent> then = waiting.remove(event.token());
            if (then != null) {
                then.accept(tick, event);
            }
        }
    }
}
