package io.yuccaswitch.core.configuration;

import java.util.Optional;

/**
 * A caller.
 *
 * @param token The bearer token that identifies the caller.
 * @param weight The weight by which the caller's share is computed under load.
 * @param priority The highest priority class that the caller may request.
 */
public record CallerSettings(
        @Setting(description = "The bearer token that identifies the caller.") Optional<String> token,
        @Setting(
                        description = "The weight by which the caller's share is computed under load.",
                        defaultValue = "1",
                        minimum = "1",
                        maximum = "1000")
                int weight,
        @Setting(description = "The highest priority class that the caller may request.", defaultValue = "normal")
                PriorityClass priority) {}
