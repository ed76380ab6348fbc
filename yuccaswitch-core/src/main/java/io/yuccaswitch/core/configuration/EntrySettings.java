package io.yuccaswitch.core.configuration;

import java.time.Duration;

/**
 * How entry addresses are given to callers.
 *
 * @param addressValidity The time for which a caller may keep the answer with the entry addresses.
 * @param answerRetention The time for which a finished answer is kept for a request that is sent again.
 * @param maximumBodyBytes The largest body of a request.
 */
public record EntrySettings(
        @Setting(
                        description = "The time for which a caller may keep the answer with the entry addresses.",
                        defaultValue = "10s",
                        minimum = "1s",
                        maximum = "10m")
                Duration addressValidity,
        @Setting(
                        description = "The time for which a finished answer is kept for a request that is sent again.",
                        defaultValue = "2m",
                        minimum = "1s",
                        maximum = "1h")
                Duration answerRetention,
        @Setting(
                        description = "The largest body of a request.",
                        defaultValue = "4194304",
                        minimum = "1024",
                        maximum = "67108864",
                        unit = "bytes")
                int maximumBodyBytes) {}
