package io.yuccaswitch.command;

import com.google.common.base.Splitter;
import io.yuccaswitch.command.CommandSettings.PlatformAccess;
import io.yuccaswitch.settings.SettingsFolder;
import io.yuccaswitch.settings.SettingsResult;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The addresses and tokens that a subcommand calls with.
 *
 * @param platform How the platform is reached, or empty if that is not known.
 * @param operators The addresses for operators of the nodes by their names, or by themselves where no name is known.
 * @param operatorToken The token that operators present to nodes.
 */
public record Connections(
        Optional<PlatformAccess> platform, SortedMap<String, String> operators, Optional<String> operatorToken) {

    /** The environment variable with the platform's address. */
    static final String PLATFORM_VARIABLE = "YUCCASWITCH_PLATFORM";

    /** The environment variable with the token for the platform. */
    static final String PLATFORM_TOKEN_VARIABLE = "YUCCASWITCH_PLATFORM_TOKEN";

    /** The environment variable with the addresses for operators. */
    static final String OPERATORS_VARIABLE = "YUCCASWITCH_OPERATORS";

    /** The environment variable with the token for nodes. */
    static final String OPERATOR_TOKEN_VARIABLE = "YUCCASWITCH_OPERATOR_TOKEN";

    /** The environment variable with the file of settings. */
    static final String SETTINGS_VARIABLE = "YUCCASWITCH_SETTINGS";

    /** Separates addresses in an environment variable. */
    private static final Splitter COMMAS = Splitter.on(',').trimResults().omitEmptyStrings();

    /** Separates a node's name from its address. */
    private static final char NAME_SEPARATOR = '=';

    /**
     * Finds the addresses and tokens: options go before environment variables, and these before the file of settings.
     *
     * @param options The options.
     * @param variables The environment variables.
     * @return The addresses and tokens, or the errors in the file of settings.
     */
    public static SettingsResult<Connections> resolve(ConnectionOptions options, Map<String, String> variables) {
        Optional<SettingsResult<CommandSettings>> file = options.settings()
                .or(() -> variable(variables, SETTINGS_VARIABLE))
                .map(path -> SettingsFolder.read(Path.of(path)).decode(CommandSettings.class));
        if (file.isPresent() && file.get().value().isEmpty()) {
            return SettingsResult.of(Optional.empty(), file.get().errors());
        }
        CommandSettings settings = file.flatMap(SettingsResult::value).orElse(CommandSettings.EMPTY);
        return SettingsResult.of(Optional.of(combine(options, variables, settings)), List.of());
    }

    /**
     * Combines what the options, the environment and the settings say.
     *
     * @param options The options.
     * @param variables The environment variables.
     * @param settings The settings.
     * @return The addresses and tokens.
     */
    private static Connections combine(
            ConnectionOptions options, Map<String, String> variables, CommandSettings settings) {
        Optional<String> address = options.platform()
                .or(() -> variable(variables, PLATFORM_VARIABLE))
                .or(() -> settings.platform().map(PlatformAccess::address));
        Optional<String> token = options.platformToken()
                .or(() -> variable(variables, PLATFORM_TOKEN_VARIABLE))
                .or(() -> settings.platform().flatMap(PlatformAccess::token));
        Optional<String> operatorToken = options.operatorToken()
                .or(() -> variable(variables, OPERATOR_TOKEN_VARIABLE))
                .or(settings::operatorToken);
        return new Connections(
                address.map(known -> new PlatformAccess(known, token)),
                operators(options, variables, settings),
                operatorToken);
    }

    /**
     * Returns the addresses for operators.
     *
     * @param options The options.
     * @param variables The environment variables.
     * @param settings The settings.
     * @return The addresses by the names of the nodes.
     */
    private static SortedMap<String, String> operators(
            ConnectionOptions options, Map<String, String> variables, CommandSettings settings) {
        List<String> written = options.operators().isEmpty()
                ? variable(variables, OPERATORS_VARIABLE)
                        .map(COMMAS::splitToList)
                        .orElseGet(List::of)
                : options.operators();
        SortedMap<String, String> operators = new TreeMap<>();
        if (written.isEmpty()) {
            settings.operators().forEach((name, address) -> operators.put(name.value(), address));
        }
        for (String entry : written) {
            int separator = entry.indexOf(NAME_SEPARATOR);
            String address = entry.substring(separator + 1);
            operators.put(separator < 0 ? address : entry.substring(0, separator), address);
        }
        return operators;
    }

    /**
     * Returns an environment variable.
     *
     * @param variables The environment variables.
     * @param name The name of the variable.
     * @return The value, or empty if the variable is not set.
     */
    private static Optional<String> variable(Map<String, String> variables, String name) {
        return Optional.ofNullable(variables.get(name)).filter(value -> !value.isBlank());
    }
}
