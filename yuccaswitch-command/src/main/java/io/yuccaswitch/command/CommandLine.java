package io.yuccaswitch.command;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;
import io.yuccaswitch.command.subcommand.ApplyCommand;
import io.yuccaswitch.command.subcommand.CheckCommand;
import io.yuccaswitch.command.subcommand.DiffCommand;
import io.yuccaswitch.command.subcommand.DrainCommand;
import io.yuccaswitch.command.subcommand.ExplainCommand;
import io.yuccaswitch.command.subcommand.HistoryCommand;
import io.yuccaswitch.command.subcommand.LogLevelCommand;
import io.yuccaswitch.command.subcommand.QuarantineCommand;
import io.yuccaswitch.command.subcommand.ReportCommand;
import io.yuccaswitch.command.subcommand.StatusCommand;
import io.yuccaswitch.command.subcommand.VersionCommand;
import java.io.PrintStream;
import java.util.List;
import java.util.Optional;

/** Parses the command line, runs the subcommand and prints its result. */
final class CommandLine {

    /** The name of the command. */
    private static final String PROGRAM_NAME = "yuccaswitch";

    /** The help text about the exit codes. */
    private static final String EXIT_CODES =
            """
            Exit codes:
              0  done
              1  failed
              2  invalid arguments or settings, nothing was changed
              3  another change was accepted first, nothing was changed
              4  the platform or a node cannot be reached, nothing was changed
              5  the change may or may not have taken effect""";

    /** Serialises results as JSON. */
    private final ObjectMapper mapper = new ObjectMapper()
            .registerModule(new Jdk8Module())
            .registerModule(new JavaTimeModule())
            .disable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS)
            .enable(SerializationFeature.INDENT_OUTPUT);

    /** The environment of the command. */
    private final CommandEnvironment environment;

    /** Receives the results of successful subcommands. */
    private final PrintStream output;

    /** Receives the results of failed subcommands. */
    private final PrintStream errors;

    /**
     * Creates a new command line.
     *
     * @param environment The environment of the command.
     * @param output Receives the results of successful subcommands.
     * @param errors Receives the results of failed subcommands.
     */
    CommandLine(CommandEnvironment environment, PrintStream output, PrintStream errors) {
        this.environment = environment;
        this.output = output;
        this.errors = errors;
    }

    /**
     * Runs a command line.
     *
     * @param arguments The arguments.
     * @return The exit code.
     */
    ExitCode run(String... arguments) {
        List<Subcommand> subcommands = subcommands();
        MainOptions options = new MainOptions();
        JCommander parser = JCommander.newBuilder()
                .programName(PROGRAM_NAME)
                .addObject(options)
                .build();
        subcommands.forEach(subcommand -> parser.addCommand(subcommand.name(), subcommand));
        try {
            parser.parse(arguments);
        } catch (ParameterException e) {
            return reportInvalidArguments(e.getMessage(), Optional.ofNullable(parser.getParsedCommand()));
        }
        Optional<Subcommand> selected = subcommands.stream()
                .filter(subcommand -> subcommand.name().equals(parser.getParsedCommand()))
                .findFirst();
        if (options.help || selected.isEmpty()) {
            output.println(usage(parser, Optional.empty()));
            return options.help ? ExitCode.OK : ExitCode.INVALID;
        }
        if (selected.get().common().isHelp()) {
            output.println(usage(parser, selected.map(Subcommand::name)));
            return ExitCode.OK;
        }
        return print(selected.get().run(environment), selected.get().common().isJson());
    }

    /**
     * Creates all subcommands.
     *
     * @return The subcommands in the order in which help lists them.
     */
    private static List<Subcommand> subcommands() {
        return List.of(
                new CheckCommand(),
                new DiffCommand(),
                new ApplyCommand(),
                new HistoryCommand(),
                new StatusCommand(),
                new ExplainCommand(),
                new DrainCommand(),
                new LogLevelCommand(),
                new QuarantineCommand(),
                new ReportCommand(),
                new VersionCommand());
    }

    /**
     * Reports invalid arguments.
     *
     * @param message The error message.
     * @param subcommand The subcommand, if it is known.
     * @return The exit code.
     */
    private ExitCode reportInvalidArguments(String message, Optional<String> subcommand) {
        String help = PROGRAM_NAME + subcommand.map(name -> " " + name).orElse("") + " --help";
        errors.println(message);
        errors.println("Run \"" + help + "\" to see how the command is used.");
        return ExitCode.INVALID;
    }

    /**
     * Returns the usage text.
     *
     * @param parser The parser.
     * @param subcommand The subcommand, or empty for the main command.
     * @return The text.
     */
    private static String usage(JCommander parser, Optional<String> subcommand) {
        StringBuilder text = new StringBuilder();
        if (subcommand.isPresent()) {
            parser.getUsageFormatter().usage(subcommand.get(), text);
        } else {
            text.append("Usage: ").append(PROGRAM_NAME).append(" COMMAND [options]\n\nCommands:\n");
            parser.getCommands()
                    .keySet()
                    .forEach(name -> text.append(String.format(
                            "  %-10s %s%n", name, parser.getUsageFormatter().getCommandDescription(name))));
            text.append("\nEach command has --help and --json.\n");
        }
        return text.append('\n').append(EXIT_CODES).toString();
    }

    /**
     * Prints a result.
     *
     * @param result The result.
     * @param json Whether to print JSON, which always goes to the output.
     * @return The exit code.
     */
    private ExitCode print(CommandResult result, boolean json) {
        if (json) {
            output.println(toJson(result.document()));
        } else {
            PrintStream stream = result.exitCode() == ExitCode.OK ? output : errors;
            result.lines().forEach(stream::println);
        }
        return result.exitCode();
    }

    /**
     * Writes a document as JSON.
     *
     * @param document The document.
     * @return The JSON.
     */
    private String toJson(Object document) {
        try {
            return mapper.writeValueAsString(document);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("Result could not be serialised as JSON", e);
        }
    }

    /** The options before the name of the subcommand. */
    private static final class MainOptions {

        /** Whether help is requested. */
        @Parameter(
                names = {"--help", "-h"},
                help = true,
                description = "Show the commands.")
        private boolean help;
    }
}
