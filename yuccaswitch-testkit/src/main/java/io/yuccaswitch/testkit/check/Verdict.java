package io.yuccaswitch.testkit.check;

import java.util.List;

/**
 * What a promise came to.
 *
 * @param promise The promise, in words.
 * @param judged The number of cases that were judged.
 * @param breaches The breaches, each described for a reader.
 */
public record Verdict(String promise, long judged, List<String> breaches) {

    /** Copies the breaches. */
    public Verdict {
        breaches = List.copyOf(breaches);
    }

    /**
     * Returns whether the promise held.
     *
     * @return {@code true} if there is no breach.
     */
    public boolean held() {
        return breaches.isEmpty();
    }
}
