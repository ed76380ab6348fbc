package io.yuccaswitch.core.quarantine;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.yuccaswitch.core.value.Bytes;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Identifies equal requests: those with the same caller, host, method, path and body. Identifiers and timestamps, which
 * differ between the attempts of a caller, are excluded. The fingerprint is a truncated cryptographic digest, so that a
 * caller cannot forge a request that is mistaken for another caller's, and so that no body has to be retained.
 *
 * @param high The first eight bytes of the digest.
 * @param low The next eight bytes.
 */
public record RequestFingerprint(long high, long low) {

    /** The number of digest bytes that are kept. */
    private static final int BYTES = 2 * Long.BYTES;

    /**
     * Computes the fingerprint of a request.
     *
     * @param caller The caller's account or credentials, or an empty text if callers are not identified.
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
     * Parses a fingerprint.
     *
     * @param text The text, as returned by {@link #toString}.
     * @return The fingerprint, or empty if the text is invalid.
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
