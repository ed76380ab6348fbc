package io.yuccaswitch.core.configuration;

/**
 * An availability zone.
 *
 * @param region The region that the availability zone lies in.
 */
public record ZoneSettings(
        @Setting(description = "The region that the availability zone lies in.", defaultValue = "local")
                String region) {}
