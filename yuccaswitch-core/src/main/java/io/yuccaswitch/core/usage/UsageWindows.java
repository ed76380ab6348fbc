package io.yuccaswitch.core.usage;

import java.time.Duration;

/**
 * The windows of time for which usage is reported. They follow each other without a gap since the epoch.
 *
 * @param length The length of a window.
 */
public record UsageWindows(Duration length) {

    /** The number of windows that are kept: more than a report is ever late for and still of use. */
    private static final int KEPT = 24;

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
     * Returns the oldest window of which counts are kept.
     *
     * @param epochMillis The present in milliseconds since the epoch.
     * @return The number of the window.
     */
    public long oldestKept(long epochMillis) {
        return at(epochMillis) - KEPT;
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
