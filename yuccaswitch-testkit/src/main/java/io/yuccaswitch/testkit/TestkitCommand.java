package io.yuccaswitch.testkit;

/**
 * A subcommand of the testkit, whose fields are its parameters. A stand-in returns from {@link #run} once it serves,
 * and its threads keep the process alive.
 */
public interface TestkitCommand {

    /**
     * Returns the name by which the subcommand is called.
     *
     * @return The name of the subcommand.
     */
    String name();

    /**
     * Runs the subcommand.
     *
     * @throws Exception If the subcommand fails, which ends the process with an error.
     */
    void run() throws Exception;

    /**
     * Prints the line that tells a starting script that a stand-in serves, and where.
     *
     * @param port The port on the loopback address.
     */
    static void announceListening(int port) {
        System.out.println("listening address=127.0.0.1:" + port);
        System.out.flush();
    }
}
