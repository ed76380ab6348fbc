package io.yuccaswitch.core.account;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

/**
 * The SHA-256 digest of an API key. Keys themselves are neither kept nor passed on; a look-up by digest takes a time
 * that does not tell how much of a guessed key is right.
 *
 * @param value The digest in lower-case hexadecimal digits.
 */
public record KeyDigest(String value) {

    /** The form of a digest. */
    private static final Pattern PATTERN = Pattern.compile("[0-9a-f]{64}");

    /** Checks the form. */
    public KeyDigest {
        if (!PATTERN.matcher(value).matches()) {
            throw new IllegalArgumentException("Not a digest of a key");
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

    /** Does not show the digest, which a short key could be found by. */
    @Override
    public String toString() {
        return "KeyDigest";
    }
}
