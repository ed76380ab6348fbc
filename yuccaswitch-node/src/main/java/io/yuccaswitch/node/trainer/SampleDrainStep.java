package io.yuccaswitch.node.trainer;

import io.yuccaswitch.core.sample.SampleSystem;
import io.yuccaswitch.core.time.MonotonicTime;
import io.yuccaswitch.node.decision.DecisionLoop;
import io.yuccaswitch.node.shutdown.DrainStep;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.jboss.logging.Logger;

/**
 * Waits in a graceful shutdown until other nodes hold all groups and cursors of this one. The hand-off itself begins
 * when the node's own row in the membership is marked as leaving. The last node of a site has no other node to hand off
 * to: it gives trainers some time to pull finished groups, and then stops. A trainer recovers groups that it had not
 * pulled by submitting them again, which is idempotent.
 */
public final class SampleDrainStep implements DrainStep {

    /** The time after which the last node of a site stops waiting for trainers. */
    private static final Duration LAST_NODE_TIMEOUT = Duration.ofSeconds(5);

    /** The logger. */
    private static final Logger LOGGER = Logger.getLogger(SampleDrainStep.class);

    /** The loop of the decision core. */
    private final DecisionLoop loop;

    /** The sample system whose hand-off is awaited. */
    private final SampleSystem system;

    /** The latest inspection of the decision core. */
    private volatile CompletableFuture<State> inspection = CompletableFuture.completedFuture(State.HOLDING);

    /** The time since when this node has been the last one, or empty if it is not. */
    private Optional<MonotonicTime> lastSince = Optional.empty();

    /**
     * Creates a new step.
     *
     * @param loop The loop of the decision core.
     * @param system The sample system whose hand-off is awaited.
     */
    public SampleDrainStep(DecisionLoop loop, SampleSystem system) {
        this.loop = loop;
        this.system = system;
    }

    /** {@inheritDoc} */
    @Override
    public String name() {
        return "samples";
    }

    /** {@inheritDoc} */
    @Override
    public void begin() {
        inspection = loop.inspect(this::state);
    }

    /** {@inheritDoc} */
    @Override
    public boolean isFinished() {
        CompletableFuture<State> latest = inspection;
        if (!latest.isDone()) {
            return false;
        }
        State state = latest.isCompletedExceptionally() ? State.HOLDING : latest.join();
        if (state == State.HANDED_OFF || isTimedOut(state)) {
            return true;
        }
        begin();
        return false;
    }

    /**
     * Reads the tables, on the loop's thread.
     *
     * @return The state of the hand-off.
     */
    private State state() {
        if (system.handedOff()) {
            return State.HANDED_OFF;
        }
        return system.isLast() ? State.LAST : State.HOLDING;
    }

    /**
     * Returns whether this node has been the last one for longer than the timeout.
     *
     * @param state The state of the hand-off.
     * @return {@code true} if the node stops without a hand-off.
     */
    private boolean isTimedOut(State state) {
        MonotonicTime now = DecisionLoop.now();
        lastSince = state == State.LAST ? Optional.of(lastSince.orElse(now)) : Optional.empty();
        boolean finished = lastSince
                .filter(since -> now.since(since).compareTo(LAST_NODE_TIMEOUT) >= 0)
                .isPresent();
        if (finished) {
            LOGGER.warn("event=samples-not-handed-off reason=\"this is the last node of the site\"");
        }
        return finished;
    }

    /** The state of a hand-off. */
    private enum State {
        /** This node holds groups or cursors that it has not handed off yet. */
        HOLDING,
        /** This node holds groups or cursors, and no other node accepts work. */
        LAST,
        /** Other nodes hold all groups and cursors. */
        HANDED_OFF
    }
}
