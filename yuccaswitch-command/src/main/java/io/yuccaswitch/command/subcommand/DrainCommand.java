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
import java.util.List;

/** Starts the planned stop of a node. */
@Parameters(
        commandDescription = "Start the planned stop of the node on a VM; it completes when its requests have ended.")
public final class DrainCommand implements Subcommand {

    /** The options that every subcommand has. */
    @ParametersDelegate
    private CommonOptions common = new CommonOptions();

    /** The options for connecting to the nodes. */
    @ParametersDelegate
    private ConnectionOptions connection = new ConnectionOptions();

    /** The name of the VM. */
    @Parameter(description = "VM", required = true)
    private String virtualMachine;

    /** Creates a subcommand. */
    public DrainCommand() {}

    /** {@inheritDoc} */
    @Override
    public String name() {
        return "drain";
    }

    /** {@inheritDoc} */
    @Override
    public CommonOptions common() {
        return common;
    }

    /** {@inheritDoc} */
    @Override
    public CommandResult run(CommandEnvironment environment) {
        return PlatformCalls.withNodes(connection, environment, this::drain);
    }

    /**
     * Starts the planned stop.
     *
     * @param connections The addresses and tokens.
     * @return The result.
     */
    private CommandResult drain(Connections connections) {
        String address = connections.operators().get(virtualMachine);
        if (address == null) {
            return CommandResult.failure(
                    ExitCode.INVALID,
                    "The VM \"" + virtualMachine + "\" is unknown. Nothing was changed.",
                    "Known VMs: " + String.join(", ", connections.operators().keySet()) + ". Give --operator "
                            + virtualMachine + "=host:port.");
        }
        try (OperatorClient client = new OperatorClient(connections.operatorToken())) {
            NodeReply reply = client.call(virtualMachine, address, OperatorCall.DRAIN);
            ExitCode exitCode = NodeResults.ofChanges(List.of(reply));
            List<String> lines = reply.isDone()
                    ? List.of(
                            virtualMachine + " has begun its planned stop.",
                            "Run \"yuccaswitch status -v\" to see what it still waits for.")
                    : List.of(
                            reply.describeFailure(),
                            "Run the command again; a planned stop can be requested repeatedly.");
            return new CommandResult(exitCode, lines, reply);
        }
    }
}
