package io.yuccaswitch.command.subcommand;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.yuccaswitch.command.CommandEnvironment;
import io.yuccaswitch.command.CommandResult;
import io.yuccaswitch.command.CommonOptions;
import io.yuccaswitch.command.ConnectionOptions;
import io.yuccaswitch.command.ExitCode;
import io.yuccaswitch.command.Subcommand;
import io.yuccaswitch.command.configuration.ConfigurationHistory;
import io.yuccaswitch.command.configuration.ObjectStore;
import io.yuccaswitch.command.subcommand.ApplyResults.Generation;
import io.yuccaswitch.settings.ConfigurationDocument;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Lists the accepted generations. */
@Parameters(commandDescription = "List the accepted generations from the newest to the oldest.")
public final class HistoryCommand implements Subcommand {

    /** The number of generations that are listed by default. */
    private static final int DEFAULT_LIMIT = 20;

    /** The options that every subcommand has. */
    @ParametersDelegate
    private CommonOptions common = new CommonOptions();

    /** The options of the platform. */
    @ParametersDelegate
    private ConnectionOptions connection = new ConnectionOptions();

    /** The largest number of generations to list. */
    @Parameter(names = "--limit", description = "The largest number of generations to list.")
    private int limit = DEFAULT_LIMIT;

    /** Creates a subcommand. */
    public HistoryCommand() {}

    /** {@inheritDoc} */
    @Override
    public String name() {
        return "history";
    }

    /** {@inheritDoc} */
    @Override
    public CommonOptions common() {
        return common;
    }

    /** {@inheritDoc} */
    @Override
    public CommandResult run(CommandEnvironment environment) {
        return PlatformCalls.withStore(
                connection, environment, store -> PlatformCalls.withCurrent(store, current -> list(store, current)));
    }

    /**
     * Lists the generations.
     *
     * @param store The platform's objects.
     * @param current The newest generation, or empty if there is none.
     * @return The result.
     */
    private CommandResult list(ObjectStore store, Optional<ConfigurationDocument> current) {
        List<ConfigurationDocument> documents = current.map(
                        newest -> new ConfigurationHistory(store).newest(newest, limit))
                .orElseGet(List::of);
        List<String> lines = new ArrayList<>();
        documents.forEach(document -> lines.add(ApplyResults.describe(document)));
        lines.add(
                documents.isEmpty()
                        ? "No configuration was ever accepted. Run \"yuccaswitch apply DIR\"."
                        : "Run \"yuccaswitch apply --revert-to N\" to go back to the content of generation N.");
        List<Generation> generations = documents.stream().map(Generation::of).toList();
        return new CommandResult(ExitCode.OK, lines, new HistoryDocument(generations));
    }

    /**
     * The result of a listing.
     *
     * @param generations The generations from the newest to the oldest.
     */
    record HistoryDocument(List<Generation> generations) {}
}
