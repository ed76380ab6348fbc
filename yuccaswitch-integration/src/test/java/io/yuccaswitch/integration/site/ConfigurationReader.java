package io.yuccaswitch.integration.site;

import com.fasterxml.jackson.databind.JsonNode;
import io.yuccaswitch.testkit.check.Observation.ConfigurationRead;
import io.yuccaswitch.testkit.check.ObservationLog;
import java.util.OptionalLong;

/** Periodically reads the generation of the active configuration from all nodes. */
public final class ConfigurationReader implements AutoCloseable {

    private static final long INTERVAL_MILLIS = 200;

    /** The generation that a started node reports before it has an active configuration and serves requests. */
    private static final long NO_GENERATION = 0;

    private final Thread thread;

    private volatile boolean stopped;

    private ConfigurationReader(Site site) {
        thread = new Thread(() -> read(site), "configuration-reader");
        thread.setDaemon(true);
        thread.start();
    }

    public static ConfigurationReader start(Site site) {
        return new ConfigurationReader(site);
    }

    /** Returns the generation that a node reports, or empty if it does not answer or has none. */
    public static OptionalLong generation(Site.Node node) {
        JsonNode generation = node.status()
                .map(status -> status.path("configuration").path("generation"))
                .filter(JsonNode::isIntegralNumber)
                .filter(number -> number.asLong() != NO_GENERATION)
                .orElse(null);
        return generation == null ? OptionalLong.empty() : OptionalLong.of(generation.asLong());
    }

    private void read(Site site) {
        try (ObservationLog log = new ObservationLog(site.observations("configuration-reader"))) {
            while (!stopped) {
                for (Site.Node node : site.nodes()) {
                    long requestedAt = System.currentTimeMillis();
                    generation(node)
                            .ifPresent(generation -> log.write(new ConfigurationRead(
                                    node.name(), generation, requestedAt, System.currentTimeMillis())));
                }
                Thread.sleep(INTERVAL_MILLIS);
            }
        } catch (InterruptedException _exception) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        stopped = true;
        try {
            thread.join();
        } catch (InterruptedException _exception) {
            Thread.currentThread().interrupt();
        }
    }
}
