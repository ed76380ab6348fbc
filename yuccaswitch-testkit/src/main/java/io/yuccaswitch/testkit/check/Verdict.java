package io.yuccaswitch.testkit.check;

import java.util.List;

/**
 * The result of checking one promise.
 *
 * @param promise The description of the promise.
 * @param judged The number of cases that were checked.
 * @param breaches The descriptions of the breaches.
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
