package io.yuccaswitch.command.configuration;

import io.yuccaswitch.core.value.Bytes;
import java.time.Instant;
import java.util.OptionalLong;

/**
 * A requested change of the fleet configuration.
 *
 * @param content The merged folder as canonical JSON, which must be valid.
 * @param changeId The identifier of the change, unique for each change.
 * @param resumed {@code true} if the change was attempted before and may already have been accepted.
 * @param author The author of the change.
 * @param time The time of the change.
 * @param expectedGeneration The generation that the change is based on, or empty to accept any generation.
 */
public record ApplyRequest(
        Bytes content,
        String changeId,
        boolean resumed,
        String author,
        Instant time,
        OptionalLong expectedGeneration) {}
