package io.yuccaswitch.testkit;

/**
 * A subcommand of the testkit, whose fields are its parameters. A stand-in returns from {@link #run} once it accepts
 * requests, and its threads keep the process alive.
 */
public interface TestkitCommand {

    /**
     * Returns the name of the subcommand on the command line.
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
     * Prints the line by which a script recognizes that a stand-in accepts requests, and at which address.
     *
     * @param port The port on the loopback address.
     */
    static void announceListening(int port) {
        System.out.println("listening address=127.0.0.1:" + port);
        System.out.flush();
    }
}
