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
 * A claim on the platform that makes a life of a node the home of a request whose id its caller made.
 *
 * @param owner The life of a node that may send the request.
 * @param window The window in which the claim was made, which takes the part of the id's issue window.
 * @param nonce A random number that tells the claim from others of the same owner.
 */
record RequestClaim(NodeIdentity owner, long window, long nonce) {

    /** The kind of the objects that hold claims. */
    static final String KIND = "request";

    /** The radix of the nonce. */
    private static final int RADIX = 16;

    /** The form of a claim. */
    private static final Pattern FORM =
            Pattern.compile("([A-Za-z0-9][A-Za-z0-9._-]*)@([1-9][0-9]{0,17}) ([0-9]{1,15}) ([0-9a-f]{1,16})");

    /**
     * Returns the key of the object that holds the claim of a request. The id is hashed, as it may bear characters that
     * object names don't.
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
     * @return The claim, or empty if the value is none.
     */
    static Optional<RequestClaim> decode(Bytes value) {
        Matcher matcher = FORM.matcher(value.toUtf8());
        if (!matcher.matches()) {
            return Optional.empty();
        }
        NodeIdentity owner = new NodeIdentity(new NodeName(matcher.group(1)), Long.parseLong(matcher.group(2)));
        return Optional.of(new RequestClaim(
                owner, Long.parseLong(matcher.group(3)), Long.parseUnsignedLong(matcher.group(4), RADIX)));
    }
}
