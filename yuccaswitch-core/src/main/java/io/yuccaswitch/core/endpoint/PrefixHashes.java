package io.yuccaswitch.core.endpoint;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Computes the hashes by which engines and this service identify prompt prefixes. */
public final class PrefixHashes {

    /** The number of characters by which each prefix is longer than the previous one. */
    public static final int BLOCK_LENGTH = 256;

    /** The maximum number of prefixes of a prompt. */
    public static final int MAXIMUM_PREFIXES = 16;

    /** This class has no instances. */
    private PrefixHashes() {}

    /**
     * Computes the hashes of the prefixes of 256, 512 and so on characters. The prompt of a chat is {@code role:
     * content} and a line feed for each message.
     *
     * @param prompt The prompt.
     * @return The hashes, from the shortest prefix to the longest, or none if the prompt is shorter than a block.
     */
    public static List<Long> of(String prompt) {
        List<Long> hashes = new ArrayList<>();
        for (int end = BLOCK_LENGTH; end <= prompt.length() && hashes.size() < MAXIMUM_PREFIXES; end += BLOCK_LENGTH) {
            hashes.add(Hashing.farmHashFingerprint64()
                    .hashString(prompt.substring(0, end), StandardCharsets.UTF_8)
                    .asLong());
        }
        return hashes;
    }
}
