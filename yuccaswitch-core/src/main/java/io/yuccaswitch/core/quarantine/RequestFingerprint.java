package io.yuccaswitch.core.quarantine;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.yuccaswitch.core.value.Bytes;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Tells whether two requests ask for the same: the same caller, host, method, path and body. Identifiers and times,
 * which are new with each attempt of a caller, don't count. It is a cryptographic digest, such that nobody can make a
 * request that is taken for another caller's, and no body has to be kept.
 *
 * @param high The first eight bytes of the digest.
 * @param low The next eight bytes.
 */
public record RequestFingerprint(long high, long low) {

    /** The number of bytes of the digest that are kept. */
    private static final int BYTES = 2 * Long.BYTES;

    /**
     * Computes the fingerprint of a request.
     *
     * @param caller The caller's account or credentials, or an empty text where callers don't tell.
     * @param host The host.
     * @param method The method.
     * @param target The path with the query.
     * @param body The body.
     * @return The fingerprint.
     */
    public static RequestFingerprint of(String caller, String host, String method, String target, Bytes body) {
        Hasher hasher = Hashing.sha256().newHasher();
        for (String part : new String[] {caller, host, method, target}) {
            byte[] text = part.getBytes(StandardCharsets.UTF_8);
            hasher.putInt(text.length).putBytes(text);
        }
        ByteBuffer digest =
                ByteBuffer.wrap(hasher.putBytes(body.unsafeArray()).hash().asBytes());
        return new RequestFingerprint(digest.getLong(), digest.getLong());
    }

    /**
     * Reads a fingerprint.
     *
     * @param text The text, as {@link #toString} writes it.
     * @return The fingerprint, or empty if the text is none.
     */
    public static Optional<RequestFingerprint> parse(String text) {
        if (text.length() != 2 * BYTES) {
            return Optional.empty();
        }
        try {
            ByteBuffer bytes = ByteBuffer.wrap(HashCode.fromString(text).asBytes());
            return Optional.of(new RequestFingerprint(bytes.getLong(), bytes.getLong()));
        } catch (IllegalArgumentException _exception) {
            return Optional.empty();
        }
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return HashCode.fromBytes(
                        ByteBuffer.allocate(BYTES).putLong(high).putLong(low).array())
                .toString();
    }
}
