package io.yuccaswitch.testkit.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * The text that an engine continues.
 *
 * @param text The text.
 */
public record Prompt(String text) {

    /** The number of characters in a block of a prefix. */
    private static final int BLOCK_CHARACTERS = 256;

    /** The maximum number of cached prefixes of a prompt. */
    private static final int MAXIMUM_PREFIXES = 16;

    /** The number of characters that count as one token. */
    private static final int CHARACTERS_PER_TOKEN = 4;

    /**
     * Reads the prompt of a request.
     *
     * @param body The body of the request, with {@code prompt} or {@code messages}.
     * @return The prompt.
     */
    public static Prompt of(JsonNode body) {
        if (!body.has("messages")) {
            return new Prompt(body.path("prompt").asText());
        }
        StringBuilder text = new StringBuilder();
        for (JsonNode message : body.path("messages")) {
            text.append(message.path("role").asText())
                    .append(": ")
                    .append(message.path("content").asText())
                    .append('\n');
        }
        return new Prompt(text.toString());
    }

    /**
     * Computes the hash of the complete text.
     *
     * @return The FarmHash fingerprint of the text in UTF-8.
     */
    public long hash() {
        return hash(text);
    }

    /**
     * Returns the number of tokens.
     *
     * @return The number of tokens, at least one.
     */
    public int tokens() {
        return Math.max(1, text.length() / CHARACTERS_PER_TOKEN);
    }

    /**
     * Computes the hashes of the prefixes with 256, 512, 768 and so on characters.
     *
     * @return The hashes, from the shortest prefix to the longest.
     */
    public List<Long> prefixHashes() {
        List<Long> hashes = new ArrayList<>();
        for (int end = BLOCK_CHARACTERS;
                end <= text.length() && hashes.size() < MAXIMUM_PREFIXES;
                end += BLOCK_CHARACTERS) {
            hashes.add(hash(text.substring(0, end)));
        }
        return hashes;
    }

    /**
     * Returns the number of tokens of the first prefixes.
     *
     * @param prefixes The number of prefixes.
     * @return The number of tokens.
     */
    public static int prefixTokens(int prefixes) {
        return prefixes * BLOCK_CHARACTERS / CHARACTERS_PER_TOKEN;
    }

    /**
     * Computes the hash of a text.
     *
     * @param text The text.
     * @return The FarmHash fingerprint of the text in UTF-8.
     */
    private static long hash(String text) {
        return Hashing.farmHashFingerprint64()
                .hashString(text, StandardCharsets.UTF_8)
                .asLong();
    }
}
