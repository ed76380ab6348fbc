package io.yuccaswitch.command;

import java.util.List;

/**
 * The result of a subcommand, as text for users and as a document for scripts.
 *
 * @param exitCode The exit code.
 * @param lines The result as lines of text.
 * @param document The result as a value that is printed as JSON.
 */
public record CommandResult(ExitCode exitCode, List<String> lines, Object document) {

    /** Copies the lines. */
    public CommandResult {
        lines = List.copyOf(lines);
    }

    /**
     * Creates the result of a failed subcommand.
     *
     * @param exitCode The exit code.
     * @param message The description of the failure, as a full sentence.
     * @param next The suggested next step, as a full sentence.
     * @return The result.
     */
    public static CommandResult failure(ExitCode exitCode, String message, String next) {
        return new CommandResult(exitCode, List.of(message, next), new Failure(exitCode.label(), message, next));
    }

    /**
     * The document of a failure.
     *
     * @param code The code of the failure.
     * @param message The description of the failure.
     * @param next The suggested next step.
     */
    public record Failure(String code, String message, String next) {}
}
