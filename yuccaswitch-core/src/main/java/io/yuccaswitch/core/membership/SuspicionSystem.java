package io.yuccaswitch.core.membership;

import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;

/**
 * Declares members dead that were suspected for long enough, and forgets those that have been dead for long. What the
 * platform says or does not say declares nobody dead.
 */
final class SuspicionSystem implements DecisionSystem {

    /** The interval at which timers are looked at. */
    private static final Duration INTERVAL = Duration.ofMillis(100);

    /** The state of the membership. */
    private final MembershipState state;

    /** The time at which timers are looked at next. */
    private MonotonicTime nextLook = new MonotonicTime(Long.MIN_VALUE);

    /**
     * Creates a new system.
     *
     * @param state The state of the membership.
     */
    SuspicionSystem(MembershipState state) {
        this.state = state;
    }

    /** {@inheritDoc} */
    @Override
    public void run(Tick tick) {
        if (tick.now().isBefore(nextLook)) {
            return;
        }
        nextLook = tick.now().plus(INTERVAL);
        if (!state.health().isDoubtful()) {
            declareDead(tick);
        }
        MembershipOptions options = state.options();
        state.timers()
                .expiredDeaths(tick.now(), options.tombstoneTime(), options.tombstones())
                .forEach(name -> state.merge().forget(tick, name));
    }

    /**
     * Declares those dead that did not object in time.
     *
     * @param tick The tick.
     */
    private void declareDead(Tick tick) {
        Duration time = state.health().stretch(state.settings().suspicionTime());
        for (NodeName name : state.timers().expiredSuspicions(tick.now(), time)) {
            state.table().row(name).ifPresent(row -> state.merge()
                    .apply(tick, row.withCondition(MemberCondition.DEAD), "did not object in time"));
        }
    }
}
