package io.yuccaswitch.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import com.codahale.metrics.MetricRegistry;
import io.yuccaswitch.core.batch.BatchJobId;
import io.yuccaswitch.core.batch.JobObservation;
import io.yuccaswitch.core.batch.JobStart;
import io.yuccaswitch.core.batch.RepeatedItem;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

/** Tests the counts of observations about batch jobs, and the warning about items at two positions. */
final class JobMetricsTest {

    private static final BatchJobId ID = new BatchJobId("job");

    private final MetricRegistry registry = new MetricRegistry();
    private final JobMetrics metrics = new JobMetrics(registry);

    @Test
    void startsAreCountedByTheirCause() {
        metrics.count(new JobObservation.Started(ID, JobStart.Cause.HANDED_OVER));
        metrics.count(new JobObservation.Started(ID, JobStart.Cause.HANDED_OVER));
        assertThat(count("gateway.batch.starts.handed-over")).isEqualTo(2);
        assertThat(count("gateway.batch.starts.submitted")).isZero();
    }

    @Test
    void objectsAreCountedByTheirOrigin() {
        metrics.count(new JobObservation.ObjectListed(ID, JobObservation.Origin.LISTED));
        metrics.count(new JobObservation.ObjectListed(ID, JobObservation.Origin.CONFLICTING));
        assertThat(count("gateway.batch.objects.listed")).isEqualTo(1);
        assertThat(count("gateway.batch.objects.conflicting")).isEqualTo(1);
        assertThat(count("gateway.batch.objects.relayed")).isZero();
    }

    @Test
    void aLoadIsInProgressUntilItEnds() {
        metrics.count(new JobObservation.LoadBegun(ID));
        assertThat(loads()).isEqualTo(1);
        metrics.count(new JobObservation.LoadEnded(ID));
        assertThat(loads()).isZero();
    }

    @Test
    void itemsAtTwoPositionsAreCountedAndWarnedOf() {
        Logger logger = (Logger) LoggerFactory.getLogger("io.yuccaswitch.batch");
        ListAppender<ILoggingEvent> lines = new ListAppender<>();
        lines.start();
        logger.addAppender(lines);
        try {
            metrics.count(repeated());
        } finally {
            logger.detachAppender(lines);
        }
        assertThat(count("gateway.batch.repeated-items")).isEqualTo(2);
        assertThat(lines.list).singleElement().satisfies(line -> {
            assertThat(line.getLevel()).isEqualTo(Level.WARN);
            assertThat(line.getFormattedMessage())
                    .isEqualTo("event=batch-items-repeated job=job node=node-1@7 object=3 items=2 ids=\"job-{4..5}\""
                            + " positions=\"{20..21}\" earlierPositions=\"{4,9}\"");
        });
    }

    @Test
    void allCountersAreServedFromTheStart() throws IOException {
        String text = new String(new MetricsText(registry).write(), StandardCharsets.UTF_8);
        assertThat(text)
                .contains(
                        "\ngateway_batch_starts_submitted_total 0.0",
                        "\ngateway_batch_starts_read_back_total 0.0",
                        "\ngateway_batch_starts_handed_over_total 0.0",
                        "\ngateway_batch_starts_loaded_total 0.0",
                        "\ngateway_batch_starts_taken_over_total 0.0",
                        "\ngateway_batch_objects_listed_total 0.0",
                        "\ngateway_batch_objects_conflicting_total 0.0",
                        "\ngateway_batch_objects_relayed_total 0.0",
                        "\ngateway_batch_loads_in_progress 0.0",
                        "\ngateway_batch_repeated_items_total 0.0");
    }

    private static JobObservation repeated() {
        return new JobObservation.ItemsRepeated(
                new NodeIdentity(new NodeName("node-1"), 7),
                ID,
                3,
                List.of(new RepeatedItem("job-4", 20, 4), new RepeatedItem("job-5", 21, 9)));
    }

    private int loads() {
        return (int) registry.getGauges().get("gateway.batch.loads-in-progress").getValue();
    }

    private long count(String name) {
        return registry.counter(name).getCount();
    }
}
