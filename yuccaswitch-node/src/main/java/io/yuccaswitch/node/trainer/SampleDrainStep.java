package io.yuccaswitch.node.trainer;

import io.yuccaswitch.core.sample.SampleSystem;
import io.yuccaswitch.node.decision.DecisionLoop;
import io.yuccaswitch.node.shutdown.DrainStep;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Waits at a planned stop until other nodes hold all groups and cursors of this one. The hand-off itself begins when
 * the node's own row among the members says that it leaves.
 */
public final class SampleDrainStep implements DrainStep {

    /** The loop of the decision core. */
    private final DecisionLoop loop;

    /** The systems to wait for. */
    private final SampleSystem system;

    /** The latest question to the decision core. */
    private final AtomicReference<CompletableFuture<Boolean>> question =
            new AtomicReference<>(CompletableFuture.completedFuture(false));

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
        question.set(loop.inspect(system::handedOff));
    }

    /** {@inheritDoc} */
    @Override
    public boolean isFinished() {
        CompletableFuture<Boolean> latest = question.get();
        if (!latest.isDone()) {
            return false;
        }
        boolean finished = !latest.isCompletedExceptionally() && latest.join();
        if (!finished) {
            question.set(loop.inspect(system::handedOff));
        }
        return finished;
    }
}
