package io.yuccaswitch.core.membership;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Optional;

/**
 * What this node knows of itself: whether it was paused, and whether it leaves. A pause shows as a gap between two
 * ticks, which are otherwise never far apart.
 */
final class SelfSystem implements DecisionSystem {

    /** The state of the membership. */
    private final MembershipState state;

    /** The time of the tick before, or empty at the first one. */
    private Optional<MonotonicTime> previous = Optional.empty();

    /**
     * Creates a new system.
     *
     * @param state The state of the membership.
     */
    SelfSystem(MembershipState state) {
        this.state = state;
    }

    /** {@inheritDoc} */
    @Override
    public void run(Tick tick) {
        detectPause(tick);
        if (!tick.events(MembershipEvent.LeaveRequested.class).isEmpty()) {
            become(tick, MemberCondition.LEAVING);
        }
        if (!tick.events(MembershipEvent.Departing.class).isEmpty()) {
            become(tick, MemberCondition.DEAD);
        }
        if (state.health().isDoubtful() && state.health().hasWaited(tick.now())) {
            restore(tick, state.health());
        }
    }

    /**
     * Ends the doubt of this node about itself.
     *
     * @param tick The tick.
     * @param health The health of this node.
     */
    static void restore(Tick tick, SelfHealth health) {
        health.trust();
        tick.raise(new MembershipEvent.RestoredSelf());
    }

    /**
     * Looks for a gap between this tick and the one before.
     *
     * @param tick The tick.
     */
    private void detectPause(Tick tick) {
        Duration gap = previous.map(tick.now()::since).orElse(Duration.ZERO);
        previous = Optional.of(tick.now());
        if (gap.compareTo(state.options().pauseThreshold()) < 0) {
            return;
        }
        state.counters().pause();
        state.health().doubt(tick.now());
        state.timers().restartSuspicions(tick.now());
        tick.raise(new MembershipEvent.DegradedSelf(gap));
        tick.decide(Decision.of(
                "membership",
                state.table().self().identity().toString(),
                "doubt",
                "did not run for " + gap.toMillis() + " ms"));
        if (state.table().othersLiving().isEmpty()) {
            restore(tick, state.health());
        }
    }

    /**
     * Changes this node's own condition to a stronger one.
     *
     * @param tick The tick.
     * @param condition The condition.
     */
    private void become(Tick tick, MemberCondition condition) {
        MemberRow self = state.table().selfRow();
        MemberCondition before = self.member().condition();
        if (condition.compareTo(before) > 0) {
            state.merge().replaceSelf(self.withCondition(condition));
            tick.raise(new MembershipEvent.ConditionChanged(state.table().self(), before));
        }
    }
}
