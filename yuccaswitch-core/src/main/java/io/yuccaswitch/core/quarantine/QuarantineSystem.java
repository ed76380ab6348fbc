package io.yuccaswitch.core.quarantine;

import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.platform.PlatformTokens;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * Protects endpoints from requests that make them terminate. Without this, one request that was repeated every few
 * seconds terminated all three endpoints of a service 9 times in 70 s, and most requests of other callers in the 3 s
 * after each time were lost.
 */
public final class QuarantineSystem implements DecisionSystem, Quarantine {

    /** The state that the parts share. */
    private final QuarantineState state;

    /** Detects which requests endpoints were processing when they terminated. */
    private final EvidenceSystem evidence;

    /** The parts, in the order in which they run. */
    private final List<DecisionSystem> parts;

    /**
     * Creates a system without suspect requests.
     *
     * @param membership The nodes of the site.
     * @param tokens Allocates the tokens of platform calls.
     * @param endpointStates Supplies the status of endpoints from another source.
     * @param timeOfDay Supplies the time of day in milliseconds since the epoch.
     */
    public QuarantineSystem(
            MembershipView membership, PlatformTokens tokens, EndpointStates endpointStates, LongSupplier timeOfDay) {
        state = new QuarantineState(timeOfDay);
        evidence = new EvidenceSystem(state, endpointStates);
        parts = List.of(evidence, new ExchangeSystem(state, membership), new StoreSystem(state, tokens));
    }

    @Override
    public void run(Tick tick) {
        parts.forEach(part -> part.run(tick));
        state.publish(tick);
    }

    /**
     * Returns whether changes wait to be announced to other nodes.
     *
     * @return {@code true} if the system should run more often than an idle one.
     */
    public boolean isBusy() {
        return state.hasUnannouncedChanges();
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
        evidence.apply(tick, event);
        state.publish(tick);
    }
}
