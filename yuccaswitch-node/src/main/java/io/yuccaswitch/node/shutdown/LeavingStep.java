package io.yuccaswitch.node.shutdown;

import io.yuccaswitch.core.membership.MembershipEvent;
import io.yuccaswitch.core.time.MonotonicTime;
import io.yuccaswitch.node.decision.DecisionLoop;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Tells the other nodes that this one leaves, such that none names it among the entry addresses, and waits until the
 * longest validity of any such answer has passed. The node serves as before meanwhile.
 */
public final class LeavingStep implements DrainStep {

    /** The time in which the news reaches the nodes that may still name this one. */
    private static final Duration NEWS_TIME = Duration.ofSeconds(2);

    /** The loop of the decision core. */
    private final DecisionLoop loop;

    /** Returns the longest validity that entry addresses were given with. */
    private final Supplier<Duration> validity;

    /** The time at which the step has finished, or empty before it was begun. */
    private volatile Optional<MonotonicTime> end = Optional.empty();

    /**
     * Creates a new step.
     *
     * @param loop The loop of the decision core.
     * @param validity Returns the longest validity that entry addresses were given with.
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
        end = Optional.of(DecisionLoop.now().plus(validity.get()).plus(NEWS_TIME));
    }

    /** {@inheritDoc} */
    @Override
    public boolean isFinished() {
        return end.filter(time -> time.isBefore(DecisionLoop.now())).isPresent();
    }
}
