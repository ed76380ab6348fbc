package io.yuccaswitch.integration.site;

import java.time.Duration;

/** Lets time pass while load and faults go on. */
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
