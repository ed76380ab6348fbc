package io.yuccaswitch.testkit.service;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Records the outcome and the number of runs of each request of a plain service. */
final class RequestLedger {

    /** The entries by request id. */
    private final Map<String, Entry> entries = new HashMap<>();

    /**
     * Records the start of a run, unless the service has promised that the request does not run.
     *
     * @param requestId The identifier of the request.
     * @return {@code false} if the request must not run.
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
     * Records the end of a run.
     *
     * @param requestId The identifier of the request.
     * @param body The body of its answer.
     */
    synchronized void finish(String requestId, String body) {
        Entry entry = entries.getOrDefault(requestId, Entry.NONE);
        entries.put(requestId, new Entry(entry.runs(), entry.finished() + 1, Optional.of(body), entry.barred()));
    }

    /**
     * Returns the state of a request. If it has not run yet, it is prevented from running later.
     *
     * @param requestId The identifier of the request.
     * @return The entry before this call.
     */
    synchronized Entry settle(String requestId) {
        Entry entry = entries.getOrDefault(requestId, Entry.NONE);
        if (entry.runs() == 0) {
            entries.put(requestId, new Entry(0, 0, Optional.empty(), true));
        }
        return entry;
    }

    /**
     * Returns the number of runs of each request.
     *
     * @return The number of runs by request id.
     */
    synchronized Map<String, Integer> runs() {
        Map<String, Integer> runs = new HashMap<>();
        entries.forEach((requestId, entry) -> runs.put(requestId, entry.runs()));
        return runs;
    }

    /**
     * The recorded state of a request.
     *
     * @param runs The number of started runs.
     * @param finished The number of finished runs.
     * @param body The body of the latest answer, or empty if there is none.
     * @param barred Whether the service has promised that the request does not run.
     */
    record Entry(int runs, int finished, Optional<String> body, boolean barred) {

        /** The entry of a request that was never received. */
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
