package io.yuccaswitch.testkit.service;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** What became of each request of a plain service, and how often it ran. */
final class RequestLedger {

    /** The entries by request id. */
    private final Map<String, Entry> entries = new HashMap<>();

    /**
     * Begins a run, unless the service has promised that the request does not run.
     *
     * @param requestId The identifier of the request.
     * @return {@code false} if the request must not run any more.
     */
    synchronized boolean begin(String requestId) {
        Entry entry = entries.getOrDefault(requestId, Entry.NONE);
        if (entry.barred()) {
            return false;
        }
        entries.put(requestId, new Entry(entry.runs() + 1, entry.finished(), entry.body(), false));
        return true;
    }

    /**
     * Ends a run.
     *
     * @param requestId The identifier of the request.
     * @param body The body of its answer.
     */
    synchronized void finish(String requestId, String body) {
        Entry entry = entries.getOrDefault(requestId, Entry.NONE);
        entries.put(requestId, new Entry(entry.runs(), entry.finished() + 1, Optional.of(body), entry.barred()));
    }

    /**
     * Says what became of a request. One that did not run is never run from here on.
     *
     * @param requestId The identifier of the request.
     * @return The entry.
     */
    synchronized Entry settle(String requestId) {
        Entry entry = entries.getOrDefault(requestId, Entry.NONE);
        if (entry.runs() == 0) {
            entries.put(requestId, new Entry(0, 0, Optional.empty(), true));
        }
        return entry;
    }

    /**
     * Returns how often each request ran.
     *
     * @return The numbers of runs by request id.
     */
    synchronized Map<String, Integer> runs() {
        Map<String, Integer> runs = new HashMap<>();
        entries.forEach((requestId, entry) -> runs.put(requestId, entry.runs()));
        return runs;
    }

    /**
     * What became of a request.
     *
     * @param runs The number of runs that began.
     * @param finished The number of runs that ended.
     * @param body The body of the latest answer, or empty if there is none.
     * @param barred Whether the service has promised that the request does not run.
     */
    record Entry(int runs, int finished, Optional<String> body, boolean barred) {

        /** The entry of a request that never came. */
        static final Entry NONE = new Entry(0, 0, Optional.empty(), false);

        /**
         * Returns the state of the request.
         *
         * @return The state: not-run, running or ran.
         */
        String state() {
            if (runs == 0) {
                return "not-run";
            }
            return finished > 0 ? "ran" : "running";
        }
    }
}
