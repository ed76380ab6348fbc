package io.yuccaswitch.node.decision;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import org.jboss.logging.Logger;

/** Measures ticks, and logs those that delay whatever waits for a decision. It is confined to the loop's thread. */
public final class TickMetrics implements TickObserver {

    /** The time from which an event has waited, or a tick has taken, too long. */
    private static final Duration LIMIT = Duration.ofMillis(200);

    /** The shortest time between two lines, which bounds the volume while the process is overloaded. */
    private static final Duration LINE_INTERVAL = Duration.ofSeconds(1);

    /** The logger. */
    private static final Logger LOGGER = Logger.getLogger(TickMetrics.class);

    /** How long the oldest event of each tick waited, in microseconds. */
    private final Histogram waits;

    /** How long each tick took, in microseconds. */
    private final Histogram ticks;

    /** When the last line was written, by the monotonic clock in nanoseconds. */
    private long lineAt = System.nanoTime() - LINE_INTERVAL.toNanos();

    /** The number of late ticks without a line since the last one. */
    private int skipped;

    /**
     * Creates an observer.
     *
     * @param metrics The registry that takes the measurements.
     */
    public TickMetrics(MetricRegistry metrics) {
        waits = metrics.histogram("decision.event-wait-micros");
        ticks = metrics.histogram("decision.tick-micros");
    }

    /** {@inheritDoc} */
    @Override
    public void ticked(Duration waited, Duration took, int events) {
        waits.update(waited.toNanos() / 1000);
        ticks.update(took.toNanos() / 1000);
        if (waited.compareTo(LIMIT) < 0 && took.compareTo(LIMIT) < 0) {
            return;
        }
        long now = System.nanoTime();
        if (now - lineAt < LINE_INTERVAL.toNanos()) {
            skipped++;
            return;
        }
        LOGGER.warnf(
                "event=decision-late waitedMillis=%d tickMillis=%d events=%d limitMillis=%d linesSkipped=%d",
                waited.toMillis(), took.toMillis(), events, LIMIT.toMillis(), skipped);
        lineAt = now;
        skipped = 0;
    }
}
