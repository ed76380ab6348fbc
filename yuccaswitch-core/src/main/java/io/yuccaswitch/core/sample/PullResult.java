package io.yuccaswitch.core.sample;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** The result of a trainer's pull. */
public sealed interface PullResult {

    /**
     * Groups are handed over, or no group became ready in time.
     *
     * @param cursor The cursor to present with the next pull, which then acknowledges these groups.
     * @param groups The groups.
     * @param remaining The number of further groups that are ready.
     */
    record HandedOver(String cursor, List<FinishedGroup> groups, int remaining) implements PullResult {}

    /**
     * Nothing is handed over.
     *
     * @param code The code of the reason.
     * @param message The explanation for the trainer.
     * @param retryAfter The time after which the trainer may retry, or empty if a retry is useless.
     */
    record Refused(String code, String message, Optional<Duration> retryAfter) implements PullResult {}
}
