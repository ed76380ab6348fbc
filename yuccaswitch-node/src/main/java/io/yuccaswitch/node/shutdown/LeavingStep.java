package io.yuccaswitch.node.shutdown;

import io.yuccaswitch.core.membership.MembershipEvent;
import io.yuccaswitch.core.time.MonotonicTime;
import io.yuccaswitch.node.decision.DecisionLoop;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Announces to the other nodes that this one leaves, so that they no longer include it in the entry addresses, and
 * waits until all answers that include it have expired. The node continues to serve meanwhile.
 */
public final class LeavingStep implements DrainStep {

    /** The margin for the announcement to reach all nodes that may still include this one in their answers. */
    private static final Duration ANNOUNCEMENT_MARGIN = Duration.ofSeconds(2);

    /** The loop of the decision core. */
    private final DecisionLoop loop;

    /** Supplies the maximum validity of the entry addresses that callers received. */
    private final Supplier<Duration> validity;

    /** The time at which the step is finished, or empty before it has begun. */
    private volatile Optional<MonotonicTime> finishTime = Optional.empty();

    /**
     * Creates a new step.
     *
     * @param loop The loop of the decision core.
     * @param validity Supplies the maximum validity of the entry addresses that callers received.
     */
    public LeavingStep(DecisionLoop loop, Supplier<Duration> validity) {
        this.loop = loop;
        this.validity = validity;
    }

    /** {@inheritDoc} */
    @Override
    public String name() {
        return "leaving";
    }

    /** {@inheritDoc} */
    @Override
    public void begin() {
        loop.accept(new MembershipEvent.LeaveRequested());
        finishTime = Optional.of(DecisionLoop.now().plus(validity.get()).plus(ANNOUNCEMENT_MARGIN));
    }

    /** {@inheritDoc} */
    @Override
    public boolean isFinished() {
        return finishTime.filter(time -> time.isBefore(DecisionLoop.now())).isPresent();
    }
}
