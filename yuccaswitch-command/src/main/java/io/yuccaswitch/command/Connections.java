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
 * The addresses and tokens that a subcommand uses for its calls.
 *
 * @param platform The address and token of the platform, or empty if no address is configured.
 * @param operators The operator addresses of the nodes by node name, or by address if no name is specified.
 * @param operatorToken The token that operators present to nodes.
 */
public record Connections(
        Optional<PlatformAccess> platform, SortedMap<String, String> operators, Optional<String> operatorToken) {

    /** The environment variable with the platform's address. */
    static final String PLATFORM_VARIABLE = "YUCCASWITCH_PLATFORM";

    /** The environment variable with the token for the platform. */
    static final String PLATFORM_TOKEN_VARIABLE = "YUCCASWITCH_PLATFORM_TOKEN";

    /** The environment variable with the operator addresses. */
    static final String OPERATORS_VARIABLE = "YUCCASWITCH_OPERATORS";

    /** The environment variable with the token for nodes. */
    static final String OPERATOR_TOKEN_VARIABLE = "YUCCASWITCH_OPERATOR_TOKEN";

    /** The environment variable with the settings file. */
    static final String SETTINGS_VARIABLE = "YUCCASWITCH_SETTINGS";

    /** Separates addresses in an environment variable. */
    private static final Splitter COMMA_SPLITTER =
            Splitter.on(',').trimResults().omitEmptyStrings();

    /** Separates a node's name from its address. */
    private static final char NAME_SEPARATOR = '=';

    /**
     * Resolves the addresses and tokens. Options take precedence over environment variables, which take precedence over
     * the settings file.
     *
     * @param options The options.
     * @param variables The environment variables.
     * @return The addresses and tokens, or the errors in the settings file.
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
     * Combines the options, the environment variables and the settings.
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
                address.map(configured -> new PlatformAccess(configured, token)),
                operators(options, variables, settings),
                operatorToken);
    }

    /**
     * Returns the operator addresses of the nodes.
     *
     * @param options The options.
     * @param variables The environment variables.
     * @param settings The settings.
     * @return The addresses by node name.
     */
    private static SortedMap<String, String> operators(
            ConnectionOptions options, Map<String, String> variables, CommandSettings settings) {
        List<String> entries = options.operators().isEmpty()
                ? variable(variables, OPERATORS_VARIABLE)
                        .map(COMMA_SPLITTER::splitToList)
                        .orElseGet(List::of)
                : options.operators();
        SortedMap<String, String> operators = new TreeMap<>();
        if (entries.isEmpty()) {
            settings.operators().forEach((name, address) -> operators.put(name.value(), address));
        }
        for (String entry : entries) {
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
