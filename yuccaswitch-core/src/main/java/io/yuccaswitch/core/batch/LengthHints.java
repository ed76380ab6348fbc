package io.yuccaswitch.core.batch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * What the caller of a job states about the lengths of its items. An item carries an estimate of its output, or the
 * maximum of its output where the caller has no estimate. The two are not marked, but callers set one maximum for all
 * items of a job, while estimates differ.
 *
 * @param maximum The maximum output of an item in tokens, or 0 if it is unknown.
 * @param estimates The estimates of the outputs in tokens, of the items that carry one.
 */
record LengthHints(long maximum, List<Long> estimates) {

    /** The share of a job's items from which a value that they share is a maximum: about half carry no estimate. */
    private static final double SHARED_VALUE_SHARE = 0.25;

    /** Copies the estimates. */
    LengthHints {
        estimates = List.copyOf(estimates);
    }

    /**
     * Determines the maximum and the estimates of a job.
     *
     * @param items The items of the job.
     * @return The hints. The maximum is the largest value that at least two items and a quarter of all share.
     */
    static LengthHints of(List<BatchItem> items) {
        Map<Long, Integer> counts = new HashMap<>();
        items.forEach(item -> counts.merge(item.expectedTokens(), 1, Integer::sum));
        long maximum = counts.entrySet().stream()
                .filter(entry -> entry.getValue() >= Math.max(2, items.size() * SHARED_VALUE_SHARE))
                .mapToLong(Map.Entry::getKey)
                .max()
                .orElse(0);
        return new LengthHints(
                maximum,
                items.stream()
                        .map(BatchItem::expectedTokens)
                        .filter(tokens -> tokens > 0 && tokens != maximum)
                        .toList());
    }

    /**
     * Returns the estimate of an item.
     *
     * @param item The item.
     * @return The estimate in tokens, or empty if the item carries none.
     */
    OptionalLong estimate(BatchItem item) {
        long tokens = item.expectedTokens();
        return tokens > 0 && tokens != maximum ? OptionalLong.of(tokens) : OptionalLong.empty();
    }
}
