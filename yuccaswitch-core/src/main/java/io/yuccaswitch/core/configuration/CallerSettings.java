package io.yuccaswitch.core.configuration;

import java.util.Optional;

/**
 * A caller.
 *
 * @param token The bearer token that tells the caller from others.
 * @param weight The share of the caller against others under load.
 * @param priority The highest priority class that the caller may ask for.
 */
public record CallerSettings(
        @Setting(description = "The bearer token that tells the caller from others.") Optional<String> token,
        @Setting(
                        description = "The share of the caller against others under load.",
                        defaultValue = "1",
                        minimum = "1",
                        maximum = "1000")
                int weight,
        @Setting(description = "The highest priority class that the caller may ask for.", defaultValue = "normal")
                PriorityClass priority) {}
