package io.yuccaswitch.node;

import io.yuccaswitch.core.account.Credential;
import io.yuccaswitch.core.account.KeyDigest;
import java.util.List;
import java.util.Locale;

/** Reads the key that a request presents as a bearer token. */
public final class BearerCredential {

    /** The header that carries the key. */
    public static final String HEADER = "Authorization";

    /** The authentication scheme in lower case, as schemes are case-insensitive. */
    private static final String SCHEME = "bearer ";

    /** This class has no instances. */
    private BearerCredential() {}

    /**
     * Reads the key. A request with more than one such header is unreadable, since another reader might use the other
     * value.
     *
     * @param values All values of the header.
     * @return The credential of the request.
     */
    public static Credential read(List<String> values) {
        if (values.isEmpty()) {
            return new Credential.Absent();
        }
        String value = values.get(0).strip();
        if (values.size() > 1 || !value.toLowerCase(Locale.ROOT).startsWith(SCHEME)) {
            return new Credential.Unreadable();
        }
        String key = value.substring(SCHEME.length()).strip();
        return key.isEmpty() ? new Credential.Unreadable() : new Credential.Key(KeyDigest.of(key));
    }
}
