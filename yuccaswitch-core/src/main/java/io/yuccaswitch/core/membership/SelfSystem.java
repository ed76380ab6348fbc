package io.yuccaswitch.core.membership;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Optional;

/**
 * Maintains this node's own condition: detects pauses, and handles requests to leave and to depart. A pause is a gap
 * between two ticks that exceeds the usual interval by far.
 */
final class SelfSystem implements DecisionSystem {

    /** The state of the membership. */
    private final MembershipState state;

    /** The time of the previous tick, or empty at the first one. */
    private Optional<MonotonicTime> previousTick = Optional.empty();

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
            strengthenCondition(tick, MemberCondition.LEAVING);
        }
        if (!tick.events(MembershipEvent.Departing.class).isEmpty()) {
            strengthenCondition(tick, MemberCondition.DEAD);
        }
        if (state.health().isUncertain() && state.health().hasRecoveryTimedOut(tick.now())) {
            restore(tick, state.health());
        }
    }

    /**
     * Resumes normal operation after a pause.
     *
     * @param tick The tick.
     * @param health The health of this node.
     */
    static void restore(Tick tick, SelfHealth health) {
        health.recordRecovery();
        tick.raise(new MembershipEvent.RecoveredFromPause());
    }

    /**
     * Detects a gap between the previous tick and this one.
     *
     * @param tick The tick.
     */
    private void detectPause(Tick tick) {
        Duration gap = previousTick.map(tick.now()::since).orElse(Duration.ZERO);
        previousTick = Optional.of(tick.now());
        if (gap.compareTo(state.options().pauseThreshold()) < 0) {
            return;
        }
        state.counters().pause();
        state.health().recordPause(tick.now());
        state.timers().restartSuspicions(tick.now());
        tick.raise(new MembershipEvent.PauseDetected(gap));
        tick.decide(Decision.of(
                "membership",
                state.table().self().identity().toString(),
                "doubt",
                "paused for " + gap.toMillis() + " ms"));
        if (state.table().othersNotDead().isEmpty()) {
            restore(tick, state.health());
        }
    }

    /**
     * Changes this node's own condition to a stronger one.
     *
     * @param tick The tick.
     * @param condition The condition.
     */
    private void strengthenCondition(Tick tick, MemberCondition condition) {
        MemberRow self = state.table().selfRow();
        MemberCondition before = self.member().condition();
        if (condition.compareTo(before) > 0) {
            state.merge().replaceSelf(self.withCondition(condition));
            tick.raise(new MembershipEvent.ConditionChanged(state.table().self(), before));
        }
    }
}
