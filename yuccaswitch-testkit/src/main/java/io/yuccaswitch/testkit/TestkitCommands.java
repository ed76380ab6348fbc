package io.yuccaswitch.testkit;

import io.yuccaswitch.testkit.platform.PlatformCommand;
import io.yuccaswitch.testkit.proxy.ProxyCommand;
import java.util.List;

/** The registry of the testkit's subcommands. */
final class TestkitCommands {

    /** This class has no instances. */
    private TestkitCommands() {}

    /**
     * Creates all subcommands, with their parameters at their defaults.
     *
     * @return The subcommands.
     */
    static List<TestkitCommand> all() {
        return List.of(new PlatformCommand(), new ProxyCommand());
    }
}
