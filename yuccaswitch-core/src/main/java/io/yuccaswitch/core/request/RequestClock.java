package io.yuccaswitch.core.request;

import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Counts the windows in which request ids are issued. The prefix of an id contains its window,
 * {@code node@incarnation/wN-}, so that a home needs to retain its ids for a bounded time only. Within a process the
 * count follows the monotonic clock and never decreases; the wall clock is read once, when the process starts, so that
 * the counts of different nodes are roughly equal.
 *
 * @param origin The monotonic time at which the process started.
 * @param originEpochMillis The wall clock time at the origin, in milliseconds since the epoch.
 */
public record RequestClock(MonotonicTime origin, long originEpochMillis) {

    /** The window of an id that has none. */
    public static final long NO_WINDOW = -1;

    /** The length of a window. */
    static final Duration WINDOW_LENGTH = Duration.ofMinutes(1);

    /** The format of an id with a window. */
    private static final Pattern WINDOWED_ID = Pattern.compile("[^/]+/w([0-9]{1,15})-.+");

    /**
     * Returns the window of a time.
     *
     * @param now The time, not before the origin.
     * @return The number of the window.
     */
    public long window(MonotonicTime now) {
        return (originEpochMillis + now.since(origin).toMillis()) / WINDOW_LENGTH.toMillis();
    }

    /**
     * Returns the prefix for new ids. Prefixes for other nodes may be created, too, as homes tolerate clocks that
     * differ by minutes.
     *
     * @param home The home of the ids.
     * @param now The current time.
     * @return The prefix.
     */
    public String prefix(NodeIdentity home, MonotonicTime now) {
        return home + "/w" + window(now) + "-";
    }

    /**
     * Returns the window of an id.
     *
     * @param id The id.
     * @return The number of the window, or {@link #NO_WINDOW}.
     */
    public static long windowOf(RequestId id) {
        Matcher matcher = WINDOWED_ID.matcher(id.value());
        return matcher.matches() ? Long.parseLong(matcher.group(1)) : NO_WINDOW;
    }
}
