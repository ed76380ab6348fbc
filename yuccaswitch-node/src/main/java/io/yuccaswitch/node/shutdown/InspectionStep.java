package io.yuccaswitch.node.shutdown;

import io.yuccaswitch.node.decision.DecisionLoop;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/** Waits until the tables of the decision core say that a part of the node has finished. */
public final class InspectionStep implements DrainStep {

    /** The name of the step. */
    private final String name;

    /** The loop of the decision core. */
    private final DecisionLoop loop;

    /** Reads the tables, on the loop's thread. */
    private final BooleanSupplier finished;

    /** The latest question to the loop, which begins as an unfavourable answer. */
    private volatile CompletableFuture<Boolean> question = CompletableFuture.completedFuture(false);

    /**
     * Creates a new step.
     *
     * @param name The name of the step.
     * @param loop The loop of the decision core.
     * @param finished Reads the tables and returns whether the part has finished.
     */
    public InspectionStep(String name, DecisionLoop loop, BooleanSupplier finished) {
        this.name = name;
        this.loop = loop;
        this.finished = finished;
    }

    /** {@inheritDoc} */
    @Override
    public String name() {
        return name;
    }

    /** {@inheritDoc} */
    @Override
    public void begin() {
        question = loop.inspect(finished::getAsBoolean);
    }

    /** {@inheritDoc} */
    @Override
    public boolean isFinished() {
        CompletableFuture<Boolean> latest = question;
        if (!latest.isDone()) {
            return false;
        }
        if (!latest.isCompletedExceptionally() && latest.join()) {
            return true;
        }
        begin();
        return false;
    }
}
