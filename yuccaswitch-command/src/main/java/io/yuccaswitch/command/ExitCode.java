package io.yuccaswitch.command;

import java.util.Locale;

/** The exit codes of the command. The numbers are stable, since scripts may depend on them. */
public enum ExitCode {
    /** The command succeeded. */
    OK(0),
    /** The command failed for a reason that no other code covers. */
    FAILED(1),
    /** The arguments or the settings are invalid, and nothing was changed. */
    INVALID(2),
    /** Another change was accepted first, and nothing was changed. */
    CONFLICT(3),
    /** The platform or a node cannot be reached, and nothing was changed. */
    UNREACHABLE(4),
    /** The change may or may not have taken effect. */
    UNKNOWN_OUTCOME(5);

    /** The number that the process exits with. */
    private final int number;

    /**
     * Creates an exit code.
     *
     * @param number The number that the process exits with.
     */
    ExitCode(int number) {
        this.number = number;
    }

    /**
     * Returns the number that the process exits with.
     *
     * @return The number.
     */
    public int number() {
        return number;
    }

    /**
     * Returns the label of the code in JSON documents, such as {@code unknown-outcome}.
     *
     * @return The code in lower case with hyphens.
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
