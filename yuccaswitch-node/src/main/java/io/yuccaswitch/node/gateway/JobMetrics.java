package io.yuccaswitch.node.gateway;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.yuccaswitch.core.batch.CompactList;
import io.yuccaswitch.core.batch.JobObservation;
import io.yuccaswitch.core.batch.JobStart;
import io.yuccaswitch.core.batch.RepeatedItem;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.jboss.logging.Logger;

/** Counts what the core observes about batch jobs, and warns when an item is listed at more than one position. */
final class JobMetrics {

    /** The logger. */
    private static final Logger LOGGER = Logger.getLogger("io.yuccaswitch.batch");

    /** The started jobs, by cause. */
    private final Map<JobStart.Cause, Counter> starts = new EnumMap<>(JobStart.Cause.class);

    /** The objects with results of this node's jobs, by the way in which they were listed. */
    private final Map<JobObservation.Origin, Counter> objects = new EnumMap<>(JobObservation.Origin.class);

    /** The loads in progress. */
    private final AtomicInteger loads = new AtomicInteger();

    /** The items that were found at a further position. */
    private final Counter repeated;

    /**
     * Creates the metrics, all of which are shown from the start.
     *
     * @param metrics The registry.
     */
    JobMetrics(MetricRegistry metrics) {
        for (JobStart.Cause cause : JobStart.Cause.values()) {
            starts.put(cause, metrics.counter("gateway.batch.starts." + label(cause)));
        }
        for (JobObservation.Origin origin : JobObservation.Origin.values()) {
            objects.put(origin, metrics.counter("gateway.batch.objects." + label(origin)));
        }
        metrics.gauge("gateway.batch.loads-in-progress", () -> loads::get);
        repeated = metrics.counter("gateway.batch.repeated-items");
    }

    /**
     * Counts an observation.
     *
     * @param observation The observation.
     */
    void count(JobObservation observation) {
        if (observation instanceof JobObservation.Started started) {
            starts.get(started.cause()).inc();
        } else if (observation instanceof JobObservation.ObjectListed listed) {
            objects.get(listed.origin()).inc();
        } else if (observation instanceof JobObservation.LoadBegun) {
            loads.incrementAndGet();
        } else if (observation instanceof JobObservation.LoadEnded) {
            loads.decrementAndGet();
        } else if (observation instanceof JobObservation.ItemsRepeated found) {
            repeated.inc(found.items().size());
            warn(found);
        }
    }

    /**
     * Warns that items are listed at more than one position.
     *
     * @param found The items.
     */
    private static void warn(JobObservation.ItemsRepeated found) {
        List<RepeatedItem> items = found.items();
        LOGGER.warnf(
                "event=batch-items-repeated job=%s node=%s object=%d items=%d ids=\"%s\" positions=\"%s\""
                        + " earlierPositions=\"%s\"",
                found.id(),
                found.node(),
                found.object(),
                items.size(),
                CompactList.of(items.stream().map(RepeatedItem::item).toList()),
                CompactList.of(items.stream()
                        .map(item -> Integer.toString(item.position()))
                        .toList()),
                CompactList.of(items.stream()
                        .map(item -> Integer.toString(item.earlierPosition()))
                        .toList()));
    }

    /**
     * Returns the label of a value in the name of a metric.
     *
     * @param value The value.
     * @return The label.
     */
    private static String label(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
