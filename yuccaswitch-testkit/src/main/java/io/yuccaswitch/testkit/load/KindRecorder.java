package io.yuccaswitch.testkit.load;

import io.yuccaswitch.testkit.check.Observation.AttemptEnd;
import io.yuccaswitch.testkit.check.Observation.CallerAttempt;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import org.HdrHistogram.Histogram;

/** Collects the results of one kind of request. */
final class KindRecorder {

    /** The number of nanoseconds in a microsecond. */
    private static final long NANOS_PER_MICRO = 1_000;

    /** The number of microseconds in a millisecond. */
    private static final double MICROS_PER_MILLI = 1_000;

    /** The latencies of answered requests in microseconds. */
    private final Histogram latencies = new Histogram(3);

    /** The number of requests by the end of their last attempt. */
    private final Map<AttemptEnd, Long> ends = new EnumMap<>(AttemptEnd.class);

    /** The number of requests for which no valid entry address was available. */
    private long unreachable;

    /**
     * Records a request.
     *
     * @param latencyNanos The time from the due time of the request to its end.
     * @param last The last attempt, or empty if there was none.
     */
    synchronized void record(long latencyNanos, Optional<CallerAttempt> last) {
        if (last.isEmpty()) {
            unreachable++;
            return;
        }
        AttemptEnd end = last.get().end();
        ends.merge(end, 1L, Long::sum);
        if (end == AttemptEnd.ANSWERED) {
            latencies.recordValue(Math.max(0, latencyNanos / NANOS_PER_MICRO));
        }
    }

    /**
     * Returns the results.
     *
     * @return The results.
     */
    synchronized LoadReport.KindReport report() {
        return new LoadReport.KindReport(
                ends,
                unreachable,
                percentile(50),
                percentile(90),
                percentile(99),
                percentile(99.9),
                latencies.getMaxValue() / MICROS_PER_MILLI);
    }

    /**
     * Returns a percentile of the latency.
     *
     * @param percentile The percentile.
     * @return The latency in milliseconds.
     */
    private double percentile(double percentile) {
        return latencies.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }
}
