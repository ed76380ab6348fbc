package io.yuccaswitch.node.shutdown;

import io.yuccaswitch.node.decision.DecisionLoop;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/** Waits until a condition on the tables of the decision core holds. */
public final class InspectionStep implements DrainStep {

    /** The name of the step. */
    private final String name;

    /** The loop of the decision core. */
    private final DecisionLoop loop;

    /** Evaluates the condition on the loop's thread. */
    private final BooleanSupplier finished;

    /** The latest inspection of the tables, initially with the result that the step has not finished. */
    private volatile CompletableFuture<Boolean> inspection = CompletableFuture.completedFuture(false);

    /**
     * Creates a new step.
     *
     * @param name The name of the step.
     * @param loop The loop of the decision core.
     * @param finished Returns whether the step has finished, and is called on the loop's thread.
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
        inspection = loop.inspect(finished::getAsBoolean);
    }

    /** {@inheritDoc} */
    @Override
    public boolean isFinished() {
        CompletableFuture<Boolean> latest = inspection;
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
