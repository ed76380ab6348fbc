package io.yuccaswitch.core.account;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

/**
 * The SHA-256 digest of an API key. The keys themselves are neither stored nor forwarded. The duration of a look-up by
 * digest does not reveal how much of a guessed key is correct.
 *
 * @param value The digest in lower-case hexadecimal digits.
 */
public record KeyDigest(String value) {

    /** The allowed digests. */
    private static final Pattern PATTERN = Pattern.compile("[0-9a-f]{64}");

    /** Validates the digest. */
    public KeyDigest {
        if (!PATTERN.matcher(value).matches()) {
            throw new IllegalArgumentException("Invalid key digest: not 64 lower-case hexadecimal digits");
        }
    }

    /**
     * Returns the digest of a key.
     *
     * @param key The key.
     * @return The digest.
     */
    public static KeyDigest of(String key) {
        return new KeyDigest(
                Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString());
    }

    /** Omits the digest, because a short key could be recovered from it. */
    @Override
    public String toString() {
        return "KeyDigest";
    }
}
