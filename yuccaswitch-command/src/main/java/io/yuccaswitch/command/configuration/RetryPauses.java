package io.yuccaswitch.command.configuration;

import java.time.Duration;

/** The pauses between attempts of calls to the platform. */
@FunctionalInterface
public interface RetryPauses {

    /**
     * Waits before the next attempt.
     *
     * @param attempt The number of the attempt that failed, from one.
     */
    void await(int attempt);

    /**
     * Pauses that double with each attempt.
     *
     * @param first The first pause.
     * @param longest The longest pause.
     */
    record Doubling(Duration first, Duration longest) implements RetryPauses {

        /** {@inheritDoc} */
        @Override
        public void await(int attempt) {
            long doubled = first.toMillis() << Math.min(attempt - 1, Short.SIZE);
            try {
                Thread.sleep(Math.min(doubled, longest.toMillis()));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** No pauses. */
    record None() implements RetryPauses {

        /** {@inheritDoc} */
        @Override
        public void await(int attempt) {}
    }
}
