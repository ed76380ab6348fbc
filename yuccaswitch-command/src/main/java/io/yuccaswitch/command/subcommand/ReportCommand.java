package io.yuccaswitch.command.subcommand;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.yuccaswitch.command.CommandEnvironment;
import io.yuccaswitch.command.CommandResult;
import io.yuccaswitch.command.CommonOptions;
import io.yuccaswitch.command.ConnectionOptions;
import io.yuccaswitch.command.Connections;
import io.yuccaswitch.command.ExitCode;
import io.yuccaswitch.command.Subcommand;
import io.yuccaswitch.command.operator.NodeReply;
import io.yuccaswitch.command.operator.OperatorCall;
import io.yuccaswitch.command.operator.OperatorClient;
import io.yuccaswitch.command.report.FleetReport;
import io.yuccaswitch.command.report.StatusSample;
import io.yuccaswitch.settings.Durations;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Samples the status of the nodes for a period and writes a page with plots. */
@Parameters(commandDescription = "Read the nodes' status for a while, and write an HTML page with plots.")
public final class ReportCommand implements Subcommand {

    /** The options that every subcommand has. */
    @ParametersDelegate
    private CommonOptions common = new CommonOptions();

    /** The options for connecting to the nodes. */
    @ParametersDelegate
    private ConnectionOptions connection = new ConnectionOptions();

    /** The file to write. */
    @Parameter(names = "--output", description = "The file to write.")
    private String output = "yuccaswitch-report.html";

    /** The number of samples of the status. */
    @Parameter(names = "--samples", description = "The number of times that the status is read.")
    private int samples = 10;

    /** The interval between two samples. */
    @Parameter(names = "--interval", description = "The interval between two readings, such as 500ms or 1s.")
    private String interval = "1s";

    /** Creates a subcommand. */
    public ReportCommand() {}

    /** {@inheritDoc} */
    @Override
    public String name() {
        return "report";
    }

    /** {@inheritDoc} */
    @Override
    public CommonOptions common() {
        return common;
    }

    /** {@inheritDoc} */
    @Override
    public CommandResult run(CommandEnvironment environment) {
        Optional<Duration> sampleInterval = Durations.parse(interval);
        if (sampleInterval.isEmpty() || samples < 1) {
            return CommandResult.failure(
                    ExitCode.INVALID,
                    "The interval or the number of samples is invalid.",
                    "Write them as in \"report --samples 10 --interval 1s\".");
        }
        return PlatformCalls.withNodes(
                connection, environment, connections -> report(connections, sampleInterval.get(), environment));
    }

    /**
     * Samples the status and writes the page.
     *
     * @param connections The addresses and tokens.
     * @param sampleInterval The interval between two samples.
     * @param environment The environment of the command.
     * @return The result.
     */
    private CommandResult report(Connections connections, Duration sampleInterval, CommandEnvironment environment) {
        List<StatusSample> collectedSamples = new ArrayList<>();
        try (OperatorClient client = new OperatorClient(connections.operatorToken())) {
            for (int i = 0; i < samples; i++) {
                if (i > 0) {
                    Thread.sleep(sampleInterval.toMillis());
                }
                List<NodeReply> replies = client.callAll(connections.operators(), OperatorCall.STATUS);
                collectedSamples.add(new StatusSample(environment.clock().instant(), replies));
            }
            Path file = Path.of(output);
            Files.writeString(file, FleetReport.html(collectedSamples));
            return written(file, collectedSamples);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return CommandResult.failure(ExitCode.FAILED, "The command was interrupted.", "Run it again.");
        } catch (IOException e) {
            return CommandResult.failure(
                    ExitCode.FAILED, "The page cannot be written: " + e + ".", "Name another file with --output.");
        }
    }

    /**
     * Creates the result for a page that was written.
     *
     * @param file The file.
     * @param collectedSamples The samples.
     * @return The result.
     */
    private static CommandResult written(Path file, List<StatusSample> collectedSamples) {
        List<NodeReply> last = collectedSamples.get(collectedSamples.size() - 1).replies();
        List<String> lines = new ArrayList<>(NodeResults.failures(last));
        lines.add("Wrote " + file.toAbsolutePath() + ".");
        return new CommandResult(
                NodeResults.ofReads(last),
                lines,
                new ReportDocument(
                        file.toAbsolutePath().toString(), collectedSamples.size(), NodeResults.failures(last)));
    }

    /**
     * The result.
     *
     * @param file The file that was written.
     * @param samples The number of samples.
     * @param failures The failures of nodes in the last sample.
     */
    record ReportDocument(String file, int samples, List<String> failures) {}
}
