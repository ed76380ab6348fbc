package io.yuccaswitch.testkit.load;

import io.yuccaswitch.testkit.check.Observation.AttemptEnd;
import java.util.Map;

/**
 * The results of a load.
 *
 * @param seconds The duration of the load in seconds.
 * @param offered The number of requests that were due.
 * @param notSent The number of requests that were not sent because too many were in flight at the generator.
 * @param kinds The results by the name of the kind.
 */
public record LoadReport(double seconds, long offered, long notSent, Map<String, KindReport> kinds) {

    /** Copies the map. */
    public LoadReport {
        kinds = Map.copyOf(kinds);
    }

    /**
     * The results of one kind of request. Latencies of answered requests are measured from the time at which the
     * request was due, so that a stall of the system is included for each request that was due during the stall.
     *
     * @param ends The number of requests by the end of their last attempt.
     * @param unreachable The number of requests for which no valid entry address was available.
     * @param p50Millis The median of the latency.
     * @param p90Millis The 90th percentile of the latency.
     * @param p99Millis The 99th percentile of the latency.
     * @param p999Millis The 99.9th percentile of the latency.
     * @param maximumMillis The maximum latency.
     */
    public record KindReport(
            Map<AttemptEnd, Long> ends,
            long unreachable,
            double p50Millis,
            double p90Millis,
            double p99Millis,
            double p999Millis,
            double maximumMillis) {

        /** Copies the map. */
        public KindReport {
            ends = Map.copyOf(ends);
        }

        /**
         * Returns the number of answered requests.
         *
         * @return The number of answered requests.
         */
        public long answered() {
            return ends.getOrDefault(AttemptEnd.ANSWERED, 0L);
        }
    }
}
