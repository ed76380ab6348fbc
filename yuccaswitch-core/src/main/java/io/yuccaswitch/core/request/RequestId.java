package io.yuccaswitch.core.request;

import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The identifier of a request. One that begins with a prefix given by the system, {@code node@incarnation/}, names its
 * home: the only life of a node that may ever send the request to an endpoint.
 *
 * @param value The identifier as text, at most 200 printable characters without spaces.
 */
public record RequestId(String value) {

    /** The form of an identifier that names its home. */
    private static final Pattern HOMED = Pattern.compile("([A-Za-z0-9][A-Za-z0-9._-]*)@([1-9][0-9]{0,17})/.+");

    /** The form of any identifier. */
    private static final Pattern VALID = Pattern.compile("[!-~]{1,200}");

    /** Checks the identifier. */
    public RequestId {
        if (!VALID.matcher(value).matches()) {
            throw new IllegalArgumentException("Not a request id: '" + value + "'");
        }
    }

    /**
     * Creates an identifier that names its home.
     *
     * @param home The home of the request.
     * @param suffix The part that tells the request from others of this home.
     * @return The identifier.
     */
    public static RequestId of(NodeIdentity home, String suffix) {
        return new RequestId(home + "/" + suffix);
    }

    /**
     * Returns the home of the request.
     *
     * @return The home, or empty if the caller made the identifier itself.
     */
    public Optional<NodeIdentity> home() {
        Matcher matcher = HOMED.matcher(value);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        return Optional.of(new NodeIdentity(new NodeName(matcher.group(1)), Long.parseLong(matcher.group(2))));
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return value;
    }
}
