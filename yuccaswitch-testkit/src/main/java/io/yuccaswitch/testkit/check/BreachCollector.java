package io.yuccaswitch.testkit.check;

import java.util.ArrayList;
import java.util.List;

/** Counts the cases of one promise and keeps its breaches. */
final class BreachCollector {

    /** The promise, in words. */
    private final String promise;

    /** The breaches so far. */
    private final List<String> breaches = new ArrayList<>();

    /** The number of cases judged so far. */
    private long judged;

    /**
     * Creates a new collector.
     *
     * @param promise The promise, in words.
     */
    BreachCollector(String promise) {
        this.promise = promise;
    }

    /**
     * Judges one case.
     *
     * @param holds Whether the promise holds in this case.
     * @param breach The description of the case if it does not.
     */
    void judge(boolean holds, String breach) {
        judged++;
        if (!holds) {
            breaches.add(breach);
        }
    }

    /**
     * Returns what the promise came to.
     *
     * @return What the promise came to.
     */
    Verdict verdict() {
        return new Verdict(promise, judged, breaches);
    }
}
