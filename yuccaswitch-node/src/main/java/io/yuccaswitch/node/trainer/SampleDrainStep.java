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
 * Waits at a planned stop until other nodes hold all groups and cursors of this one. The hand-off itself begins when
 * the node's own row among the members says that it leaves. The last node of a site has nobody to hand off to: it gives
 * trainers some time to pull what is finished, and then stops. A trainer gets what it had not taken by submitting its
 * groups again, which is idempotent.
 */
public final class SampleDrainStep implements DrainStep {

    /** The time for which the last node of a site waits for trainers. */
    private static final Duration LAST_NODE_PATIENCE = Duration.ofSeconds(5);

    /** The logger. */
    private static final Logger LOGGER = Logger.getLogger(SampleDrainStep.class);

    /** The loop of the decision core. */
    private final DecisionLoop loop;

    /** The systems to wait for. */
    private final SampleSystem system;

    /** The latest question to the decision core. */
    private volatile CompletableFuture<State> question = CompletableFuture.completedFuture(State.HOLDING);

    /** The time since when this node has been the last one, or empty if it is not. */
    private Optional<MonotonicTime> lastSince = Optional.empty();

    /**
     * Creates a new step.
     *
     * @param loop The loop of the decision core.
     * @param system The systems to wait for.
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
        question = loop.inspect(this::state);
    }

    /** {@inheritDoc} */
    @Override
    public boolean isFinished() {
        CompletableFuture<State> latest = question;
        if (!latest.isDone()) {
            return false;
        }
        State state = latest.isCompletedExceptionally() ? State.HOLDING : latest.join();
        if (state == State.HANDED_OFF || isOutOfPatience(state)) {
            return true;
        }
        begin();
        return false;
    }

    /**
     * Reads the tables, on the loop's thread.
     *
     * @return What holds the stop up.
     */
    private State state() {
        if (system.handedOff()) {
            return State.HANDED_OFF;
        }
        return system.isLast() ? State.LAST : State.HOLDING;
    }

    /**
     * Returns whether this node has been the last one for long enough.
     *
     * @param state What holds the stop up.
     * @return {@code true} if the node stops with what it holds.
     */
    private boolean isOutOfPatience(State state) {
        MonotonicTime now = DecisionLoop.now();
        lastSince = state == State.LAST ? Optional.of(lastSince.orElse(now)) : Optional.empty();
        boolean finished = lastSince
                .filter(since -> now.since(since).compareTo(LAST_NODE_PATIENCE) >= 0)
                .isPresent();
        if (finished) {
            LOGGER.warn("event=samples-not-handed-off reason=\"this is the last node of the site\"");
        }
        return finished;
    }

    /** What holds a stop up. */
    private enum State {
        /** This node holds something that it still hands off. */
        HOLDING,
        /** This node holds something, and no other node takes work. */
        LAST,
        /** Other nodes hold all. */
        HANDED_OFF
    }
}
