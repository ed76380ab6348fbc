package io.yuccaswitch.integration.site;

import io.yuccaswitch.testkit.check.Observation.ConfigurationAccepted;
import io.yuccaswitch.testkit.check.ObservationLog;

/** An operator who periodically applies a configuration change. */
public final class Operator implements AutoCloseable {

    private static final long INTERVAL_MILLIS = 8_000;

    private final Thread thread;

    private volatile boolean stopped;

    private Operator(Site site) {
        thread = new Thread(() -> change(site), "operator");
        thread.setDaemon(true);
        thread.start();
    }

    public static Operator start(Site site) {
        return new Operator(site);
    }

    private void change(Site site) {
        try (ObservationLog log = new ObservationLog(site.observations("operator"))) {
            for (int weight = 2; !stopped; weight++) {
                CommandResult result = site.applyChange("operator", weight);
                if (result.exitCode() == 0) {
                    long generation = Http.parse(result.output())
                            .path("generation")
                            .path("generation")
                            .asLong();
                    log.write(new ConfigurationAccepted(generation, System.currentTimeMillis()));
                }
                for (long waitedMillis = 0; waitedMillis < INTERVAL_MILLIS && !stopped; waitedMillis += 100) {
                    Thread.sleep(100);
                }
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
