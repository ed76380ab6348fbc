package io.yuccaswitch.core.request;

import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The identifier of a request. An identifier with a prefix that the system issued, {@code node@incarnation/}, contains
 * the home of the request: the only incarnation of a node that may ever send the request to an endpoint.
 *
 * @param value The identifier as text, at most 200 printable characters without spaces.
 */
public record RequestId(String value) {

    /** The format of an identifier that contains its home. */
    private static final Pattern HOMED_ID = Pattern.compile("([A-Za-z0-9][A-Za-z0-9._-]*)@([1-9][0-9]{0,17})/.+");

    /** The format of any identifier. */
    private static final Pattern VALID_ID = Pattern.compile("[!-~]{1,200}");

    /** Validates the identifier. */
    public RequestId {
        if (!VALID_ID.matcher(value).matches()) {
            throw new IllegalArgumentException("Not a request id: '" + value + "'");
        }
    }

    /**
     * Creates an identifier that contains its home.
     *
     * @param home The home of the request.
     * @param suffix The part that is unique among the requests of this home.
     * @return The identifier.
     */
    public static RequestId of(NodeIdentity home, String suffix) {
        return new RequestId(home + "/" + suffix);
    }

    /**
     * Returns the home of the request.
     *
     * @return The home, or empty if the identifier was chosen by the caller.
     */
    public Optional<NodeIdentity> home() {
        Matcher matcher = HOMED_ID.matcher(value);
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
