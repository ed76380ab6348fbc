package io.yuccaswitch.command;

/** A subcommand, whose fields JCommander fills in. */
public interface Subcommand {

    /**
     * Returns the name that the subcommand is called by.
     *
     * @return The name.
     */
    String name();

    /**
     * Returns the options that every subcommand has.
     *
     * @return The options.
     */
    CommonOptions common();

    /**
     * Runs the subcommand.
     *
     * @param environment What the command takes from its surroundings.
     * @return The result.
     */
    CommandResult run(CommandEnvironment environment);
}
