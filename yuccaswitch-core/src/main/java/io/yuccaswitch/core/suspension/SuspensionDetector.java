package io.yuccaswitch.core.suspension;

import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Optional;

/** Finds out that the machine was suspended: the time of day has gone further than the monotonic clock. */
public final class SuspensionDetector {

    /**
     * The least difference that counts: more than a correction of the time of day, less than what leases keep in hand.
     */
    private static final Duration LEAST_GAP = Duration.ofMillis(200);

    /** The difference between both clocks, in nanoseconds, or empty before the first look. */
    private Optional<Long> difference = Optional.empty();

    /** Creates a detector that has looked at no clock. */
    public SuspensionDetector() {}

    /**
     * Looks at both clocks, which should be read one right after the other.
     *
     * @param now The monotonic time.
     * @param epochMillis The time of day in milliseconds since the epoch.
     * @return What happened since the last look, if anything did.
     */
    public Optional<Suspended> look(MonotonicTime now, long epochMillis) {
        long current = Duration.ofMillis(epochMillis).toNanos() - now.nanoseconds();
        long before = difference.orElse(current);
        Duration gap = Duration.ofNanos(current - before);
        if (!gap.isNegative() && gap.compareTo(LEAST_GAP) < 0 && difference.isPresent()) {
            return Optional.empty();
        }
        difference = Optional.of(current);
        return gap.compareTo(LEAST_GAP) >= 0 ? Optional.of(new Suspended(gap)) : Optional.empty();
    }
}
