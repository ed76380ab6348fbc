package io.yuccaswitch.testkit.check;

import java.util.ArrayList;
import java.util.List;

/** Counts the cases in which one promise was checked and collects its breaches. */
final class BreachCollector {

    /** The description of the promise. */
    private final String promise;

    /** The descriptions of the breaches found so far. */
    private final List<String> breaches = new ArrayList<>();

    /** The number of cases checked so far. */
    private long judged;

    /**
     * Creates a new collector.
     *
     * @param promise The description of the promise.
     */
    BreachCollector(String promise) {
        this.promise = promise;
    }

    /**
     * Records the result of one case.
     *
     * @param holds Whether the promise holds in this case.
     * @param breach The description of the breach, used only if the promise does not hold.
     */
    void judge(boolean holds, String breach) {
        judged++;
        if (!holds) {
            breaches.add(breach);
        }
    }

    /**
     * Returns the verdict on the promise.
     *
     * @return The verdict on all cases recorded so far.
     */
    Verdict verdict() {
        return new Verdict(promise, judged, breaches);
    }
}
