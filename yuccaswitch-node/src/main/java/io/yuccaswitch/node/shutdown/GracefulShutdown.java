package io.yuccaswitch.node.shutdown;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;

/**
 * The graceful shutdown of a node: the steps run one after the other, so that no request in progress is interrupted. It
 * has no time limit, since the process can be killed to end a node immediately.
 */
public final class GracefulShutdown {

    /** The interval at which the end of a step is polled. */
    private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

    /** The logger. */
    private static final Logger LOGGER = Logger.getLogger(GracefulShutdown.class);

    /** The steps, in the order in which they are begun. */
    private final List<DrainStep> steps;

    /** Whether the shutdown has begun. */
    private final AtomicBoolean begun = new AtomicBoolean();

    /**
     * Creates a new shutdown that has not begun.
     *
     * @param steps The steps, in the order in which they are begun.
     */
    public GracefulShutdown(List<DrainStep> steps) {
        this.steps = List.copyOf(steps);
    }

    /**
     * Returns whether the shutdown has begun.
     *
     * @return {@code true} if the shutdown has begun.
     */
    public boolean isBegun() {
        return begun.get();
    }

    /**
     * Returns the names of the steps that have not finished.
     *
     * @return The names of the steps that have not finished.
     */
    public List<String> unfinished() {
        return steps.stream()
                .filter(step -> !step.isFinished())
                .map(DrainStep::name)
                .collect(Collectors.toList());
    }

    /**
     * Runs the shutdown to its end. All calls but the first return immediately.
     *
     * @throws InterruptedException If the calling thread is interrupted while it waits.
     */
    public void run() throws InterruptedException {
        if (!begun.compareAndSet(false, true)) {
            return;
        }
        for (DrainStep step : steps) {
            LOGGER.infof("event=drain-step-begun step=%s", step.name());
            step.begin();
            while (!step.isFinished()) {
                Thread.sleep(POLL_INTERVAL.toMillis());
            }
            LOGGER.infof("event=drain-step-finished step=%s", step.name());
        }
    }
}
