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
import io.yuccaswitch.command.configuration.ConfigurationHistory.Listing;
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

    /** The options for connecting to the platform. */
    @ParametersDelegate
    private ConnectionOptions connection = new ConnectionOptions();

    /** The maximum number of generations to list. */
    @Parameter(names = "--limit", description = "The maximum number of generations to list.")
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
     * @param store The object store of the platform.
     * @param current The latest generation, or empty if there is none.
     * @return The result.
     */
    private CommandResult list(ObjectStore store, Optional<ConfigurationDocument> current) {
        Listing listing = current.map(newest -> new ConfigurationHistory(store).newest(newest, limit))
                .orElseGet(() -> new Listing(List.of(), Optional.empty()));
        List<String> lines = new ArrayList<>();
        listing.documents().forEach(document -> lines.add(ApplyResults.describe(document)));
        List<Generation> generations =
                listing.documents().stream().map(Generation::of).toList();
        HistoryDocument document = new HistoryDocument(generations, listing.failure());
        if (listing.failure().isPresent()) {
            lines.add("Older generations cannot be read: " + listing.failure().get() + ".");
            lines.add("Run the command again, or with a lower --limit.");
            return new CommandResult(ExitCode.UNREACHABLE, lines, document);
        }
        lines.add(
                generations.isEmpty()
                        ? "No configuration has been accepted yet. Run \"yuccaswitch apply DIR\"."
                        : "Run \"yuccaswitch apply --revert-to N\" to go back to the content of generation N.");
        return new CommandResult(ExitCode.OK, lines, document);
    }

    /**
     * The result of a listing.
     *
     * @param generations The generations from the newest to the oldest.
     * @param failure The reason why older generations could not be read, or empty if they were read.
     */
    record HistoryDocument(List<Generation> generations, Optional<String> failure) {}
}
