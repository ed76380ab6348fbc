package io.yuccaswitch.command.configuration;

import java.time.Duration;

/** The delays between attempts of calls to the platform. */
@FunctionalInterface
public interface RetryPauses {

    /**
     * Waits before the next attempt.
     *
     * @param attempt The number of the failed attempt, starting at one.
     */
    void await(int attempt);

    /**
     * Delays that double with each attempt.
     *
     * @param initial The initial delay.
     * @param maximum The maximum delay.
     */
    record Doubling(Duration initial, Duration maximum) implements RetryPauses {

        /** {@inheritDoc} */
        @Override
        public void await(int attempt) {
            long delayMillis = initial.toMillis() << Math.min(attempt - 1, Short.SIZE);
            try {
                Thread.sleep(Math.min(delayMillis, maximum.toMillis()));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** No delays. */
    record None() implements RetryPauses {

        /** {@inheritDoc} */
        @Override
        public void await(int attempt) {}
    }
}
