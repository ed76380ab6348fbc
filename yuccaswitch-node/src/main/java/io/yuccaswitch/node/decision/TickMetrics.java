package io.yuccaswitch.node.decision;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import org.jboss.logging.Logger;

/** Measures ticks, and logs those that delay pending decisions. It is confined to the loop's thread. */
public final class TickMetrics implements TickObserver {

    /** The wait of an event or the duration of a tick from which a tick is late. */
    private static final Duration LATE_THRESHOLD = Duration.ofMillis(200);

    /** The minimum time between two log lines, which bounds the log volume while the process is overloaded. */
    private static final Duration MINIMUM_LINE_INTERVAL = Duration.ofSeconds(1);

    /** The logger. */
    private static final Logger LOGGER = Logger.getLogger(TickMetrics.class);

    /** The wait of the oldest event of each tick, in microseconds. */
    private final Histogram waits;

    /** The duration of each tick, in microseconds. */
    private final Histogram ticks;

    /** When the last line was logged, by the monotonic clock in nanoseconds. */
    private long lastLineAt = System.nanoTime() - MINIMUM_LINE_INTERVAL.toNanos();

    /** The number of late ticks that were not logged since the last line. */
    private int skippedLines;

    /**
     * Creates an observer.
     *
     * @param metrics The registry of the measurements.
     */
    public TickMetrics(MetricRegistry metrics) {
        waits = metrics.histogram("decision.event-wait-micros");
        ticks = metrics.histogram("decision.tick-micros");
    }

    /** {@inheritDoc} */
    @Override
    public void onTick(Duration waited, Duration duration, int events) {
        waits.update(waited.toNanos() / 1000);
        ticks.update(duration.toNanos() / 1000);
        if (waited.compareTo(LATE_THRESHOLD) < 0 && duration.compareTo(LATE_THRESHOLD) < 0) {
            return;
        }
        long now = System.nanoTime();
        if (now - lastLineAt < MINIMUM_LINE_INTERVAL.toNanos()) {
            skippedLines++;
            return;
        }
        LOGGER.warnf(
                "event=decision-late waitedMillis=%d tickMillis=%d events=%d limitMillis=%d linesSkipped=%d",
                waited.toMillis(), duration.toMillis(), events, LATE_THRESHOLD.toMillis(), skippedLines);
        lastLineAt = now;
        skippedLines = 0;
    }
}
