package io.yuccaswitch.core.configuration;

import java.time.Duration;

/**
 * The settings of entry addresses and requests at the entry.
 *
 * @param addressValidity The time for which a caller may cache the answer with the entry addresses.
 * @param answerRetention The time for which a finished answer is retained for a request that is sent again.
 * @param maximumBodyBytes The maximum size of a request body.
 */
public record EntrySettings(
        @Setting(
                        description = "The time for which a caller may cache the answer with the entry addresses.",
                        defaultValue = "10s",
                        minimum = "1s",
                        maximum = "10m")
                Duration addressValidity,
        @Setting(
                        description =
                                "The time for which a finished answer is retained for a request that is sent again.",
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
