package io.yuccaswitch.command;

import java.util.List;

/**
 * What a subcommand found or did, for people and for scripts.
 *
 * @param exitCode What the command exits with.
 * @param lines The result as lines of text.
 * @param document The result as a value that is printed as JSON.
 */
public record CommandResult(ExitCode exitCode, List<String> lines, Object document) {

    /** Copies the lines. */
    public CommandResult {
        lines = List.copyOf(lines);
    }

    /**
     * Creates the result of a subcommand that did not do what it was asked to.
     *
     * @param exitCode What the command exits with.
     * @param message What went wrong, in a full sentence.
     * @param next What to do next, in a full sentence.
     * @return The result.
     */
    public static CommandResult failure(ExitCode exitCode, String message, String next) {
        return new CommandResult(exitCode, List.of(message, next), new Failure(exitCode.label(), message, next));
    }

    /**
     * The document of a failure.
     *
     * @param code The code of the failure.
     * @param message What went wrong.
     * @param next What to do next.
     */
    public record Failure(String code, String message, String next) {}
}
