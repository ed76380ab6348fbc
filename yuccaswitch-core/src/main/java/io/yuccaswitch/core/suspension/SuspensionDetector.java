package io.yuccaswitch.core.suspension;

import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Optional;

/** Detects that the VM was suspended: the wall clock has advanced further than the monotonic clock. */
public final class SuspensionDetector {

    /**
     * The minimum difference that is treated as a suspension: more than a correction of the wall clock, less than the
     * safety margin of leases.
     */
    private static final Duration MINIMUM_GAP = Duration.ofMillis(200);

    /** The difference between both clocks, in nanoseconds, or empty before the first check. */
    private Optional<Long> difference = Optional.empty();

    /** Creates a detector that has checked no clock. */
    public SuspensionDetector() {}

    /**
     * Compares both clocks, which should be read immediately after each other.
     *
     * @param now The monotonic time.
     * @param epochMillis The wall clock in milliseconds since the epoch.
     * @return The suspension since the last check, if there was one.
     */
    public Optional<Suspended> check(MonotonicTime now, long epochMillis) {
        long current = Duration.ofMillis(epochMillis).toNanos() - now.nanoseconds();
        long before = difference.orElse(current);
        Duration gap = Duration.ofNanos(current - before);
        if (!gap.isNegative() && gap.compareTo(MINIMUM_GAP) < 0 && difference.isPresent()) {
            return Optional.empty();
        }
        difference = Optional.of(current);
        return gap.compareTo(MINIMUM_GAP) >= 0 ? Optional.of(new Suspended(gap)) : Optional.empty();
    }
}
