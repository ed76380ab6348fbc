package io.yuccaswitch.node;

import io.yuccaswitch.core.account.Credential;
import io.yuccaswitch.core.account.KeyDigest;
import java.util.List;
import java.util.Locale;

/** Reads the key that a request bears as a bearer token. */
public final class BearerCredential {

    /** The header that bears the key. */
    public static final String HEADER = "Authorization";

    /** The scheme of the header, in lower case: schemes may be written in any case. */
    private static final String SCHEME = "bearer ";

    /** This class has no instances. */
    private BearerCredential() {}

    /**
     * Reads the key. A request that bears the header twice presents none, as another reader might take the other one.
     *
     * @param values All values of the header.
     * @return What the request presents.
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
