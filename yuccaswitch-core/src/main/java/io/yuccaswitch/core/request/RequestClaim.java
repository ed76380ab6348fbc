package io.yuccaswitch.core.request;

import com.google.common.hash.Hashing;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.platform.ObjectKey;
import io.yuccaswitch.core.value.Bytes;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A claim on the platform that makes an incarnation of a node the home of a request whose id was chosen by its caller.
 *
 * @param owner The incarnation of a node that may send the request.
 * @param window The window in which the claim was made, which is used as the issue window of the id.
 * @param nonce A random number that distinguishes the claim from others of the same owner.
 */
record RequestClaim(NodeIdentity owner, long window, long nonce) {

    /** The kind of the objects that store claims. */
    static final String KIND = "request";

    /** The radix of the encoded nonce. */
    private static final int NONCE_RADIX = 16;

    /** The format of an encoded claim. */
    private static final Pattern FORMAT =
            Pattern.compile("([A-Za-z0-9][A-Za-z0-9._-]*)@([1-9][0-9]{0,17}) ([0-9]{1,15}) ([0-9a-f]{1,16})");

    /**
     * Returns the key of the object that holds the claim of a request. The id is hashed, as it may contain characters
     * that are not allowed in object names.
     *
     * @param id The identifier of the request.
     * @return The key.
     */
    static ObjectKey key(RequestId id) {
        return new ObjectKey(
                KIND,
                Hashing.sha256().hashString(id.value(), StandardCharsets.UTF_8).toString());
    }

    /**
     * Encodes this claim.
     *
     * @return The value of the object.
     */
    Bytes encode() {
        return Bytes.ofUtf8(owner + " " + window + " " + Long.toHexString(nonce));
    }

    /**
     * Decodes a claim.
     *
     * @param value The value of the object.
     * @return The claim, or empty if the value is malformed.
     */
    static Optional<RequestClaim> decode(Bytes value) {
        Matcher matcher = FORMAT.matcher(value.toUtf8());
        if (!matcher.matches()) {
            return Optional.empty();
        }
        NodeIdentity owner = new NodeIdentity(new NodeName(matcher.group(1)), Long.parseLong(matcher.group(2)));
        return Optional.of(new RequestClaim(
                owner, Long.parseLong(matcher.group(3)), Long.parseUnsignedLong(matcher.group(4), NONCE_RADIX)));
    }
}
