package io.yuccaswitch.testkit.proxy;

import java.time.Duration;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * The faults of a link.
 *
 * @param mode The handling of connections.
 * @param delay The time by which data is delayed in each direction.
 * @param resetAfter The number of bytes in a direction after which a connection is reset, counted for each connection
 *     from the time at which these faults become active.
 * @param bytesPerSecond The maximum number of bytes per second in each direction of a connection, or zero for no limit.
 * @param cut The directions in which no data is forwarded.
 */
public record LinkFaults(
        LinkMode mode, Duration delay, Map<Direction, Long> resetAfter, long bytesPerSecond, Set<Direction> cut) {

    /** No faults. */
    public static final LinkFaults NONE = new LinkFaults(LinkMode.PASS, Duration.ZERO, Map.of(), 0, Set.of());

    /** Copies the collections. */
    public LinkFaults {
        resetAfter = Map.copyOf(resetAfter);
        cut = Set.copyOf(cut);
    }

    /**
     * Creates faults that only change the handling of connections.
     *
     * @param mode The handling of connections.
     * @return The faults.
     */
    public static LinkFaults of(LinkMode mode) {
        return new LinkFaults(mode, Duration.ZERO, Map.of(), 0, Set.of());
    }

    /**
     * Returns these faults with a delay.
     *
     * @param newDelay The time by which data is delayed in each direction.
     * @return The modified copy.
     */
    public LinkFaults withDelay(Duration newDelay) {
        return new LinkFaults(mode, newDelay, resetAfter, bytesPerSecond, cut);
    }

    /**
     * Returns these faults with a reset.
     *
     * @param direction The direction in which bytes are counted.
     * @param bytes The number of bytes that are forwarded before the reset.
     * @return The modified copy.
     */
    public LinkFaults withReset(Direction direction, long bytes) {
        return new LinkFaults(mode, delay, Map.of(direction, bytes), bytesPerSecond, cut);
    }

    /**
     * Returns these faults with a throttle.
     *
     * @param newBytesPerSecond The maximum number of bytes per second.
     * @return The modified copy.
     */
    public LinkFaults withThrottle(long newBytesPerSecond) {
        return new LinkFaults(mode, delay, resetAfter, newBytesPerSecond, cut);
    }

    /**
     * Returns these faults with other blocked directions.
     *
     * @param newCut The directions in which no data is forwarded.
     * @return The modified copy.
     */
    public LinkFaults withCut(Direction... newCut) {
        return new LinkFaults(mode, delay, resetAfter, bytesPerSecond, Set.of(newCut));
    }

    /**
     * Returns whether a direction is blocked.
     *
     * @param direction The direction.
     * @return {@code true} if no data is forwarded in this direction.
     */
    boolean blocks(Direction direction) {
        return mode == LinkMode.BLACKHOLE || cut.contains(direction);
    }

    /**
     * Returns the number of bytes in a direction after which a connection is reset.
     *
     * @param direction The direction.
     * @return The number of bytes, or empty if connections are not reset.
     */
    OptionalLong resetAfter(Direction direction) {
        Long bytes = resetAfter.get(direction);
        return bytes == null ? OptionalLong.empty() : OptionalLong.of(bytes);
    }
}
