package io.yuccaswitch.testkit.http;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** The faults that were ordered of a stand-in. */
public final class Faults {

    /** The pause between two looks at whether a freeze is over. */
    private static final long FREEZE_CHECK_MILLIS = 5;

    /** The values of the faults that were ordered. */
    private final Map<Fault, Long> values = new ConcurrentHashMap<>();

    /**
     * Orders a fault, or ends it with zero.
     *
     * @param fault The fault.
     * @param value The new value.
     */
    public void set(Fault fault, long value) {
        values.put(fault, value);
    }

    /**
     * Returns the value of a fault.
     *
     * @param fault The fault.
     * @return The value, zero if the fault was not ordered.
     */
    public long value(Fault fault) {
        return values.getOrDefault(fault, 0L);
    }

    /**
     * Returns whether a fault is switched on.
     *
     * @param fault The fault.
     * @return {@code true} if its value is not zero.
     */
    public boolean on(Fault fault) {
        return value(fault) != 0;
    }

    /**
     * Uses up one of the times that a fault was ordered for.
     *
     * @param fault The fault.
     * @return {@code true} if the fault is to be caused now.
     */
    public boolean take(Fault fault) {
        long[] before = {0};
        values.computeIfPresent(fault, (_fault, left) -> {
            before[0] = left;
            return left > 0 ? left - 1 : left;
        });
        return before[0] != 0;
    }

    /**
     * Waits for the delay that was ordered, and for the end of a freeze.
     *
     * @throws InterruptedException If the thread is interrupted meanwhile.
     */
    public void pause() throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(value(Fault.DELAY_MILLIS));
        while (on(Fault.FROZEN)) {
            TimeUnit.MILLISECONDS.sleep(FREEZE_CHECK_MILLIS);
        }
    }

    /**
     * Returns all values that were ordered.
     *
     * @return The values by the names of the faults.
     */
    public Map<String, Long> toMap() {
        Map<String, Long> map = new TreeMap<>();
        values.forEach((fault, value) -> map.put(fault.key(), value));
        return map;
    }
}
