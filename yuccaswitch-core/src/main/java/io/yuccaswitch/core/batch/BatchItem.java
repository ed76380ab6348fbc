package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.value.Bytes;
import java.util.Map;
import java.util.Optional;

/**
 * One item of a batch job.
 *
 * @param id The identifier, which is also that of its requests.
 * @param path The path of its requests.
 * @param headers The headers of its requests, by name.
 * @param body The body of its requests.
 * @param group The group, whose items share their prompt.
 * @param expectedTokens The expected number of generated tokens. Longer items start first.
 * @param promptTokens The number of tokens of the prompt, or 0 if it is unknown.
 * @param scoring The request that scores its output, if its result requires a score.
 */
public record BatchItem(
        String id,
        String path,
        Map<String, String> headers,
        Bytes body,
        String group,
        long expectedTokens,
        long promptTokens,
        Optional<ScoringRequest> scoring) {

    /** Copies the headers. */
    public BatchItem {
        headers = Map.copyOf(headers);
    }

    /**
     * Creates an item whose prompt has an unknown length.
     *
     * @param id The identifier, which is also that of its requests.
     * @param path The path of its requests.
     * @param headers The headers of its requests, by name.
     * @param body The body of its requests.
     * @param group The group, whose items share their prompt.
     * @param expectedTokens The expected number of generated tokens.
     * @param scoring The request that scores its output, if its result requires a score.
     */
    public BatchItem(
            String id,
            String path,
            Map<String, String> headers,
            Bytes body,
            String group,
            long expectedTokens,
            Optional<ScoringRequest> scoring) {
        this(id, path, headers, body, group, expectedTokens, 0, scoring);
    }
}
