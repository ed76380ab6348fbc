package io.yuccaswitch.core.configuration;

/**
 * An availability zone.
 *
 * @param region The region of the availability zone.
 */
public record ZoneSettings(
        @Setting(description = "The region of the availability zone.", defaultValue = "local") String region) {}
