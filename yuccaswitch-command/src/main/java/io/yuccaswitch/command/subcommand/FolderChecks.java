package io.yuccaswitch.command.subcommand;

import io.yuccaswitch.command.CommandResult;
import io.yuccaswitch.command.ExitCode;
import io.yuccaswitch.settings.SettingsError;
import io.yuccaswitch.settings.SettingsFolder;
import java.util.List;
import java.util.stream.Stream;

/** Creates the results of checks of settings. */
final class FolderChecks {

    /** This class has no instances. */
    private FolderChecks() {}

    /**
     * Creates the result for invalid settings.
     *
     * @param name The name of the folder.
     * @param files The names of the files that were read.
     * @param errors The errors.
     * @return The result.
     */
    static CommandResult invalid(String name, List<String> files, List<SettingsError> errors) {
        String count = errors.size() == 1 ? "1 error" : errors.size() + " errors";
        List<String> lines = Stream.concat(
                        errors.stream().map(SettingsError::toString),
                        Stream.of(name + " has " + count + ". Nothing was changed.", "Correct them and check again."))
                .toList();
        return new CommandResult(ExitCode.INVALID, lines, new CheckDocument(false, files, errors));
    }

    /**
     * Creates the result for an invalid folder.
     *
     * @param folder The folder.
     * @param errors The errors.
     * @return The result.
     */
    static CommandResult invalid(SettingsFolder folder, List<SettingsError> errors) {
        return invalid(folder.name(), folder.files(), errors);
    }

    /**
     * The result of a check.
     *
     * @param valid Whether the settings are valid.
     * @param files The names of the files in the order in which they were merged.
     * @param errors The errors.
     */
    record CheckDocument(boolean valid, List<String> files, List<SettingsError> errors) {}
}
