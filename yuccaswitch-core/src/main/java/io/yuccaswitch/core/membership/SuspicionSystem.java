package io.yuccaswitch.core.membership;

import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;

/**
 * Declares members dead whose suspicion has timed out, and removes dead members once their retention period is over.
 * Neither an answer of the platform nor its absence ever declares a member dead.
 */
final class SuspicionSystem implements DecisionSystem {

    /** The interval between two checks of the timers. */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

    /** The state of the membership. */
    private final MembershipState state;

    /** The time of the next check of the timers. */
    private MonotonicTime nextCheck = new MonotonicTime(Long.MIN_VALUE);

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
        if (tick.now().isBefore(nextCheck)) {
            return;
        }
        nextCheck = tick.now().plus(CHECK_INTERVAL);
        if (!state.health().isUncertain()) {
            declareDead(tick);
        }
        MembershipOptions options = state.options();
        state.timers()
                .expiredDeaths(tick.now(), options.tombstoneRetention(), options.maximumTombstones())
                .forEach(name -> state.merge().remove(tick, name));
    }

    /**
     * Declares members dead that did not refute their suspicion in time.
     *
     * @param tick The tick.
     */
    private void declareDead(Tick tick) {
        Duration timeout = state.health().extend(state.settings().suspicionTime());
        for (NodeName name : state.timers().expiredSuspicions(tick.now(), timeout)) {
            state.table().row(name).ifPresent(row -> state.merge()
                    .apply(tick, row.withCondition(MemberCondition.DEAD), "did not refute the suspicion in time"));
        }
    }
}
