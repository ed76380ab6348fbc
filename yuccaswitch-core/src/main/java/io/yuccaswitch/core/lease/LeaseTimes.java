package io.yuccaswitch.core.lease;

import io.yuccaswitch.core.configuration.LeaseSettings;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Optional;

/** The durations and pauses of leases that follow from the settings in force. */
final class LeaseTimes {

    /** The number of calls that are made in the duration of a lease. */
    static final int CALLS_PER_DURATION = 3;

    /** The number of times that a call is tried again in the pause between two calls after no answer came. */
    private static final int RETRIES_PER_PAUSE = 4;

    /** The settings in force, or empty before the first configuration. */
    private Optional<LeaseSettings> settings = Optional.empty();

    /**
     * Replaces the settings.
     *
     * @param inForce The settings in force.
     */
    void replace(LeaseSettings inForce) {
        settings = Optional.of(inForce);
    }

    /**
     * Returns whether a lease may be taken: nobody holds it, or its holder did not renew it while this node kept
     * looking.
     *
     * @param seen What the platform showed.
     * @param now The current time.
     * @return {@code true} if the lease may be taken.
     */
    boolean isTakeable(LeaseRow.Observation seen, MonotonicTime now) {
        Duration duration = duration(seen.record());
        if (now.since(seen.seenAt()).compareTo(duration) >= 0) {
            return false;
        }
        return seen.isFree() || now.since(seen.unchangedSince()).compareTo(duration.plus(margin())) >= 0;
    }

    /**
     * Returns the duration of a lease as its record says, or as the configuration says where there is no record.
     *
     * @param record The record.
     * @return The duration.
     */
    Duration duration(Optional<LeaseRecord> record) {
        return record.map(LeaseRecord::duration).orElseGet(this::duration);
    }

    /**
     * Returns the duration of leases.
     *
     * @return The duration as the configuration says.
     */
    Duration duration() {
        return settings.orElseThrow().duration();
    }

    /**
     * Returns the pause between two calls about a lease.
     *
     * @return The pause.
     */
    Duration pause() {
        return duration().dividedBy(CALLS_PER_DURATION);
    }

    /**
     * Returns the pause before a call is tried again.
     *
     * @return The pause.
     */
    Duration retryPause() {
        return pause().dividedBy(RETRIES_PER_PAUSE);
    }

    /**
     * Returns the safety margin.
     *
     * @return The safety margin.
     */
    Duration margin() {
        return settings.orElseThrow().safetyMargin();
    }
}
