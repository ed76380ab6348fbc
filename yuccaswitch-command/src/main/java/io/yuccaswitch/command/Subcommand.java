package io.yuccaswitch.command;

/** A subcommand, whose annotated fields JCommander sets. */
public interface Subcommand {

    /**
     * Returns the name of the subcommand on the command line.
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
     * @param environment The environment of the command.
     * @return The result.
     */
    CommandResult run(CommandEnvironment environment);
}
