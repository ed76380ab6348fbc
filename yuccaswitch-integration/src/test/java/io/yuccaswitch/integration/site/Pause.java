package io.yuccaswitch.integration.site;

import java.time.Duration;

/** Blocks the test for some time while load and faults continue. */
public final class Pause {

    private Pause() {}

    public static void of(Duration duration) {
        try {
            Thread.sleep(duration.toMillis());
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(exception);
        }
    }
}
