package io.yuccaswitch.command.configuration;

import io.yuccaswitch.settings.ConfigurationDocument;
import io.yuccaswitch.settings.SettingsDifference;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** What became of a change of the fleet's configuration. */
public sealed interface ApplyOutcome {

    /**
     * The change was accepted.
     *
     * @param accepted The accepted generation.
     * @param differences The values that differ from the generation before, where that is known.
     * @param supersededBy The newest generation, if others were accepted since.
     * @param warnings What went wrong beside the acceptance.
     */
    record Accepted(
            ConfigurationDocument accepted,
            List<SettingsDifference> differences,
            Optional<ConfigurationDocument> supersededBy,
            List<String> warnings)
            implements ApplyOutcome {}

    /**
     * The accepted configuration is already the wanted one, and nothing was written.
     *
     * @param current The newest generation.
     */
    record Unchanged(ConfigurationDocument current) implements ApplyOutcome {}

    /**
     * Another change was accepted instead, and nothing was written.
     *
     * @param base The generation that the change was made from, if it is known.
     * @param winner The newest generation.
     * @param differences The values in which the newest generation differs from the one that the change was made from.
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
     * @param maximum The largest size that the platform takes.
     */
    record TooLarge(int size, int maximum) implements ApplyOutcome {}

    /**
     * The platform's object is not one that this command can read, and nothing was written.
     *
     * @param reason What is wrong.
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
     * @param base The generation that the change was made from, or zero if there was none.
     * @param reason The reason.
     */
    record Unknown(String changeId, long base, String reason) implements ApplyOutcome {}
}
