package io.yuccaswitch.testkit.http;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** The faults that are injected into a stand-in. */
public final class Faults {

    /** The interval at which a suspended answer checks whether the freeze has ended. */
    private static final long FREEZE_CHECK_INTERVAL_MILLIS = 5;

    /** The values of the injected faults. */
    private final Map<Fault, Long> values = new ConcurrentHashMap<>();

    /**
     * Injects a fault, or removes it if the value is zero.
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
     * @return The value, or zero if the fault was not injected.
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
     * Consumes one of the remaining occurrences of a fault. A negative value stands for an unlimited number.
     *
     * @param fault The fault.
     * @return {@code true} if the fault must be applied now.
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
     * Waits for the injected delay, and until a freeze has ended.
     *
     * @throws InterruptedException If the thread is interrupted while it waits.
     */
    public void pause() throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(value(Fault.DELAY_MILLIS));
        while (on(Fault.FROZEN)) {
            TimeUnit.MILLISECONDS.sleep(FREEZE_CHECK_INTERVAL_MILLIS);
        }
    }

    /**
     * Returns the values of all injected faults.
     *
     * @return The values by fault name.
     */
    public Map<String, Long> toMap() {
        Map<String, Long> map = new TreeMap<>();
        values.forEach((fault, value) -> map.put(fault.key(), value));
        return map;
    }
}
