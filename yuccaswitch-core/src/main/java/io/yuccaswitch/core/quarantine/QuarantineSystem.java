package io.yuccaswitch.core.quarantine;

import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.platform.PlatformTokens;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * Keeps requests under which endpoints end away from further endpoints. Without it, one request that came again every
 * few seconds ended all three endpoints of a service 9 times in 70 s, and most requests of other callers in the 3 s
 * after each time were lost.
 */
public final class QuarantineSystem implements DecisionSystem, Quarantine {

    /** What the parts share. */
    private final QuarantineState state;

    /** Finds out under which requests endpoints ended. */
    private final EvidenceSystem evidence;

    /** The parts, in the order in which they run. */
    private final List<DecisionSystem> parts;

    /**
     * Creates a system that knows of no request.
     *
     * @param membership The nodes of the site.
     * @param tokens Hands out the tokens of calls.
     * @param standings What is known of endpoints from another source.
     * @param timeOfDay Tells the time of day in milliseconds since the epoch.
     */
    public QuarantineSystem(
            MembershipView membership, PlatformTokens tokens, EndpointStandings standings, LongSupplier timeOfDay) {
        state = new QuarantineState(timeOfDay);
        evidence = new EvidenceSystem(state, standings);
        parts = List.of(evidence, new ExchangeSystem(state, membership), new StoreSystem(state, tokens));
    }

    @Override
    public void run(Tick tick) {
        parts.forEach(part -> part.run(tick));
        state.publish(tick);
    }

    /**
     * Returns whether something is to be told to other nodes soon.
     *
     * @return {@code true} if the system should run more often than an idle one.
     */
    public boolean isBusy() {
        return state.hasNews();
    }

    @Override
    public QuarantineView view() {
        return state.view();
    }

    @Override
    public long epochMillis() {
        return state.epochMillis();
    }

    @Override
    public void report(Tick tick, QuarantineEvent event) {
        evidence.take(tick, event);
        state.publish(tick);
    }
}
