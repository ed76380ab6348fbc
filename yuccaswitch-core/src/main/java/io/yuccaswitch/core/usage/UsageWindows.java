package io.yuccaswitch.core.usage;

import java.time.Duration;

/**
 * The windows of time for which usage is reported. They follow each other without a gap since the epoch.
 *
 * @param length The length of a window.
 */
public record UsageWindows(Duration length) {

    /** Checks the length. */
    public UsageWindows {
        if (length.toMillis() <= 0) {
            throw new IllegalArgumentException("Not a length of a window: " + length);
        }
    }

    /**
     * Returns the window that a moment lies in.
     *
     * @param epochMillis The moment in milliseconds since the epoch.
     * @return The number of the window.
     */
    public long at(long epochMillis) {
        return Math.floorDiv(epochMillis, length.toMillis());
    }

    /**
     * Returns when a window ends.
     *
     * @param window The number of the window.
     * @return The first moment behind it, in milliseconds since the epoch.
     */
    public long end(long window) {
        return (window + 1) * length.toMillis();
    }
}
