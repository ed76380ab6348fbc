package io.yuccaswitch.node.shutdown;

/** A part of a node that has something to finish before the process may exit. */
public interface DrainStep {

    /**
     * Returns the name of the step, for logs and status.
     *
     * @return The name of the step.
     */
    String name();

    /** Begins to finish: from now on the part takes no new work from outside. This method does not block. */
    void begin();

    /**
     * Returns whether the part has finished.
     *
     * @return {@code true} if nothing of this part is cut when the process exits now.
     */
    boolean isFinished();
}
