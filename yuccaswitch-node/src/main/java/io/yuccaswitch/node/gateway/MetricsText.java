package io.yuccaswitch.node.gateway;

import com.codahale.metrics.MetricRegistry;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.instrumentation.dropwizard.DropwizardExports;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;

/**
 * Writes the metrics as text. The exposition library is loaded with the first query, because most nodes are never
 * queried.
 */
final class MetricsText {

    /** The type of the text. */
    static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

    /** The metrics. */
    private final MetricRegistry metrics;

    /**
     * Creates a writer.
     *
     * @param metrics The metrics.
     */
    MetricsText(MetricRegistry metrics) {
        this.metrics = metrics;
    }

    /**
     * Writes the current metrics.
     *
     * @return The text.
     * @throws IOException Never, as the text is written to memory.
     */
    byte[] write() throws IOException {
        PrometheusRegistry registry = new PrometheusRegistry();
        DropwizardExports.builder().dropwizardRegistry(metrics).register(registry);
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        PrometheusTextFormatWriter.create().write(output, registry.scrape());
        return output.toByteArray();
    }
}
