package io.yuccaswitch.testkit;

import io.yuccaswitch.testkit.check.CheckCommand;
import io.yuccaswitch.testkit.engine.EngineCommand;
import io.yuccaswitch.testkit.load.LoadCommand;
import io.yuccaswitch.testkit.platform.PlatformCommand;
import io.yuccaswitch.testkit.proxy.ProxyCommand;
import io.yuccaswitch.testkit.scorer.ScorerCommand;
import io.yuccaswitch.testkit.service.ServiceCommand;
import io.yuccaswitch.testkit.trainer.TrainerCommand;
import io.yuccaswitch.testkit.weightstore.WeightStoreCommand;
import java.util.List;

/** The registry of the testkit's subcommands. */
final class TestkitCommands {

    /** This class has no instances. */
    private TestkitCommands() {}

    /**
     * Creates all subcommands, with default parameters.
     *
     * @return The subcommands.
     */
    static List<TestkitCommand> all() {
        return List.of(
                new CheckCommand(),
                new EngineCommand(),
                new LoadCommand(),
                new PlatformCommand(),
                new ProxyCommand(),
                new ScorerCommand(),
                new ServiceCommand(),
                new TrainerCommand(),
                new WeightStoreCommand());
    }
}
