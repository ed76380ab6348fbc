package io.yuccaswitch.command.configuration;

import io.yuccaswitch.core.value.Bytes;
import java.time.Instant;
import java.util.OptionalLong;

/**
 * A change of the fleet's configuration that is to be accepted.
 *
 * @param content The merged folder as canonical JSON, which was found to be right.
 * @param changeId The identifier of the change, unique for each change.
 * @param resumed {@code true} if the change was tried before, such that it may have been accepted already.
 * @param author Who makes the change.
 * @param time The time of the change.
 * @param expectedGeneration The generation that the change was made from, or empty for whichever is accepted.
 */
public record ApplyRequest(
        Bytes content,
        String changeId,
        boolean resumed,
        String author,
        Instant time,
        OptionalLong expectedGeneration) {}
