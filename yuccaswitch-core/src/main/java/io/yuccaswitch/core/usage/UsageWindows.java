package io.yuccaswitch.core.usage;

import java.time.Duration;

/**
 * The time windows for which usage is reported. They are contiguous and start at the epoch.
 *
 * @param length The length of a window.
 */
public record UsageWindows(Duration length) {

    /** The number of retained windows, which exceeds the age up to which a late report is still useful. */
    private static final int RETAINED_WINDOWS = 24;

    /** Checks the length. */
    public UsageWindows {
        if (length.toMillis() <= 0) {
            throw new IllegalArgumentException("Window length must be at least 1 ms: " + length);
        }
    }

    /**
     * Returns the window that contains a time.
     *
     * @param epochMillis The time in milliseconds since the epoch.
     * @return The number of the window.
     */
    public long windowAt(long epochMillis) {
        return Math.floorDiv(epochMillis, length.toMillis());
    }

    /**
     * Returns the oldest window whose counts are retained.
     *
     * @param epochMillis The current time in milliseconds since the epoch.
     * @return The number of the window.
     */
    public long oldestRetained(long epochMillis) {
        return windowAt(epochMillis) - RETAINED_WINDOWS;
    }

    /**
     * Returns when a window ends.
     *
     * @param window The number of the window.
     * @return The exclusive end in milliseconds since the epoch.
     */
    public long end(long window) {
        return (window + 1) * length.toMillis();
    }
}
