package io.yuccaswitch.node.entry;

import io.javalin.http.Context;
import io.yuccaswitch.core.configuration.CallerSettings;
import io.yuccaswitch.core.configuration.FleetConfiguration;
import io.yuccaswitch.core.configuration.PriorityClass;
import io.yuccaswitch.core.identity.CallerName;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;

/**
 * Tells callers by their tokens. A request without a token belongs to the first caller by name that has none; in a
 * configuration without any caller, everybody is the same anonymous one.
 */
final class CallerAuthentication {

    /** The caller of a configuration that names none. */
    private static final AuthenticatedCaller ANONYMOUS =
            new AuthenticatedCaller(new CallerName("anonymous"), PriorityClass.NORMAL);

    /** The prefix of the header that bears a token. */
    private static final String BEARER = "Bearer ";

    /** The status of a request without a known token. */
    private static final int UNAUTHORIZED = 401;

    /** This class has no instances. */
    private CallerAuthentication() {}

    /**
     * Tells the caller of a request.
     *
     * @param context The request.
     * @param configuration The configuration in force.
     * @return The caller.
     */
    static AuthenticatedCaller authenticate(Context context, FleetConfiguration configuration) {
        if (configuration.callers().isEmpty()) {
            return ANONYMOUS;
        }
        Optional<String> token = Optional.ofNullable(context.header("Authorization"))
                .filter(header -> header.startsWith(BEARER))
                .map(header -> header.substring(BEARER.length()));
        return configuration.callers().entrySet().stream()
                .filter(entry -> matches(entry.getValue(), token))
                .min(Comparator.comparing(Map.Entry::getKey))
                .map(entry ->
                        new AuthenticatedCaller(entry.getKey(), entry.getValue().priority()))
                .orElseThrow(() -> new EntryException(
                        UNAUTHORIZED, "unauthorized", "Present a caller's token as a bearer token."));
    }

    /**
     * Compares a caller's token with the presented one in a time that does not tell how much of it is right.
     *
     * @param caller The caller.
     * @param token The presented token, or empty.
     * @return {@code true} if the token is the caller's, or if neither has one.
     */
    private static boolean matches(CallerSettings caller, Optional<String> token) {
        if (caller.token().isEmpty() || token.isEmpty()) {
            return caller.token().isEmpty() && token.isEmpty();
        }
        return MessageDigest.isEqual(
                caller.token().get().getBytes(StandardCharsets.UTF_8),
                token.get().getBytes(StandardCharsets.UTF_8));
    }
}
