package io.yuccaswitch.command.configuration;

import io.yuccaswitch.settings.ConfigurationDocument;
import io.yuccaswitch.settings.SettingsDifference;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** The outcome of a change of the fleet configuration. */
public sealed interface ApplyOutcome {

    /**
     * The change was accepted.
     *
     * @param accepted The accepted generation.
     * @param differences The values that differ from the previous generation, if that generation is available.
     * @param supersededBy The latest generation, if later ones have been accepted since.
     * @param warnings Problems that did not prevent the acceptance.
     */
    record Accepted(
            ConfigurationDocument accepted,
            List<SettingsDifference> differences,
            Optional<ConfigurationDocument> supersededBy,
            List<String> warnings)
            implements ApplyOutcome {}

    /**
     * The accepted configuration already equals the requested one, and nothing was written.
     *
     * @param current The latest generation.
     */
    record Unchanged(ConfigurationDocument current) implements ApplyOutcome {}

    /**
     * Another change was accepted instead, and nothing was written.
     *
     * @param base The generation that the change was based on, if it is known.
     * @param winner The latest generation.
     * @param differences The values in which the latest generation differs from the one that the change was based on.
     */
    record Lost(OptionalLong base, ConfigurationDocument winner, List<SettingsDifference> differences)
            implements ApplyOutcome {}

    /**
     * The identifier of the change belongs to another change, and nothing was written.
     *
     * @param other The generation of the other change.
     */
    record ChangeIdInUse(ConfigurationDocument other) implements ApplyOutcome {}

    /**
     * The change is too large, and nothing was written.
     *
     * @param size The size in bytes.
     * @param maximum The maximum size that the platform accepts.
     */
    record TooLarge(int size, int maximum) implements ApplyOutcome {}

    /**
     * The platform's object is not a valid configuration, and nothing was written.
     *
     * @param reason The description of the problem.
     */
    record Damaged(String reason) implements ApplyOutcome {}

    /**
     * The platform cannot be reached, and nothing was written.
     *
     * @param reason The reason.
     */
    record Unreachable(String reason) implements ApplyOutcome {}

    /**
     * The platform may or may not have accepted the change.
     *
     * @param changeId The identifier of the change.
     * @param base The generation that the change was based on, or zero if there was none.
     * @param reason The reason.
     */
    record Unknown(String changeId, long base, String reason) implements ApplyOutcome {}
}
