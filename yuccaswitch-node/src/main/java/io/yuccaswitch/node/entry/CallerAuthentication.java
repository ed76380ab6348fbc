package io.yuccaswitch.node.entry;

import io.javalin.http.Context;
import io.yuccaswitch.core.account.Credential;
import io.yuccaswitch.core.account.KeyDigest;
import io.yuccaswitch.core.configuration.CallerSettings;
import io.yuccaswitch.core.configuration.FleetConfiguration;
import io.yuccaswitch.core.configuration.PriorityClass;
import io.yuccaswitch.core.identity.CallerName;
import io.yuccaswitch.node.BearerCredential;
import java.util.Collections;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;

/**
 * Identifies callers by their tokens. A request without a token belongs to the first caller, in order of their names,
 * that has no token. Without any configured caller, all requests belong to one anonymous caller.
 */
final class CallerAuthentication {

    /** The caller of all requests if no caller is configured. */
    private static final AuthenticatedCaller ANONYMOUS =
            new AuthenticatedCaller(new CallerName("anonymous"), PriorityClass.NORMAL);

    /** The status of a request without a configured token. */
    private static final int UNAUTHORIZED = 401;

    /** This class has no instances. */
    private CallerAuthentication() {}

    /**
     * Identifies the caller of a request.
     *
     * @param context The request.
     * @param configuration The active configuration.
     * @return The caller.
     */
    static AuthenticatedCaller authenticate(Context context, FleetConfiguration configuration) {
        if (configuration.callers().isEmpty()) {
            return ANONYMOUS;
        }
        Credential credential =
                BearerCredential.read(Collections.list(context.req().getHeaders(BearerCredential.HEADER)));
        return configuration.callers().entrySet().stream()
                .filter(entry -> matches(entry.getValue(), credential))
                .min(Comparator.comparing(Map.Entry::getKey))
                .map(entry ->
                        new AuthenticatedCaller(entry.getKey(), entry.getValue().priority()))
                .orElseThrow(() -> new EntryException(
                        UNAUTHORIZED, "unauthorized", "Present a caller's token as a bearer token."));
    }

    /**
     * Compares the digest of a caller's token with that of the presented one.
     *
     * @param caller The caller.
     * @param credential The credential of the request.
     * @return {@code true} if the token is the caller's, or if neither has one.
     */
    private static boolean matches(CallerSettings caller, Credential credential) {
        Optional<Credential> expected = caller.token().map(token -> new Credential.Key(KeyDigest.of(token)));
        return expected.orElseGet(Credential.Absent::new).equals(credential);
    }
}
