package io.yuccaswitch.testkit.engine;

import java.util.List;

/**
 * The work that an engine actually did for a request, for independent checks.
 *
 * @param requestId The identifier of the request.
 * @param model The model or adapter.
 * @param promptHash The hash of the prompt.
 * @param resumeTokens The number of tokens that an earlier run had generated.
 * @param segments The tokens that this run generated, with the weight versions that were actually used.
 * @param startMillis The time at which the run was accepted, in milliseconds since the epoch.
 * @param endMillis The time at which the run ended, in milliseconds since the epoch, or zero if it has not ended.
 * @param completed {@code true} if the run reached the end of the text.
 */
public record RunRecord(
        String requestId,
        String model,
        long promptHash,
        int resumeTokens,
        List<Segment> segments,
        long startMillis,
        long endMillis,
        boolean completed) {}
