package io.yuccaswitch.node.shutdown;

/** A component of a node that must finish its work before the process may exit. */
public interface DrainStep {

    /**
     * Returns the name of the step, for logs and status.
     *
     * @return The name of the step.
     */
    String name();

    /** Starts draining, after which the component accepts no new work from outside. This method does not block. */
    void begin();

    /**
     * Returns whether the component has finished.
     *
     * @return {@code true} if the process may exit without interrupting work of this component.
     */
    boolean isFinished();
}
