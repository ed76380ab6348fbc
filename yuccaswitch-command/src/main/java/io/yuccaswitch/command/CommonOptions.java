package io.yuccaswitch.command;

import com.beust.jcommander.Parameter;

/** The options of every subcommand. */
public final class CommonOptions {

    /** Whether the result is printed as JSON. */
    @Parameter(names = "--json", description = "Print the result as one JSON document.")
    private boolean json;

    /** Whether help is requested. */
    @Parameter(
            names = {"--help", "-h"},
            help = true,
            description = "Show the usage of the command.")
    private boolean help;

    /** Creates options with default values. */
    public CommonOptions() {}

    /**
     * Returns whether the result is printed as JSON.
     *
     * @return {@code true} if it is.
     */
    public boolean isJson() {
        return json;
    }

    /**
     * Returns whether help is requested.
     *
     * @return {@code true} if it is.
     */
    public boolean isHelp() {
        return help;
    }
}
