package io.yuccaswitch.core.lease;

import io.yuccaswitch.core.configuration.LeaseSettings;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Optional;

/** The durations and delays of leases that are derived from the active settings. */
final class LeaseTimes {

    /** The number of calls within a lease duration. */
    static final int CALLS_PER_DURATION = 3;

    /** The number of retries of a failed call within the interval between two calls. */
    private static final int RETRIES_PER_CALL_INTERVAL = 4;

    /** The active settings, or empty before the first configuration. */
    private Optional<LeaseSettings> settings = Optional.empty();

    /**
     * Replaces the settings.
     *
     * @param active The settings that became active.
     */
    void replace(LeaseSettings active) {
        settings = Optional.of(active);
    }

    /**
     * Returns whether a lease may be acquired. This is the case if it has no holder, or if its holder did not renew it
     * while this node continuously observed it. An observation that is older than the lease duration is not sufficient.
     *
     * @param observation The last observation.
     * @param now The current time.
     * @return {@code true} if the lease may be acquired.
     */
    boolean isAcquirable(LeaseRow.Observation observation, MonotonicTime now) {
        Duration duration = duration(observation.record());
        if (now.since(observation.observedAt()).compareTo(duration) >= 0) {
            return false;
        }
        return observation.isFree() || now.since(observation.unchangedSince()).compareTo(duration.plus(margin())) >= 0;
    }

    /**
     * Returns the duration of a lease from its record, or the configured duration if there is no record.
     *
     * @param record The record.
     * @return The duration.
     */
    Duration duration(Optional<LeaseRecord> record) {
        return record.map(LeaseRecord::duration).orElseGet(this::duration);
    }

    /**
     * Returns the configured duration of leases.
     *
     * @return The configured duration.
     */
    Duration duration() {
        return settings.orElseThrow().duration();
    }

    /**
     * Returns the interval between two calls for a lease.
     *
     * @return The interval.
     */
    Duration callInterval() {
        return duration().dividedBy(CALLS_PER_DURATION);
    }

    /**
     * Returns the delay before a failed call is retried.
     *
     * @return The delay.
     */
    Duration retryDelay() {
        return callInterval().dividedBy(RETRIES_PER_CALL_INTERVAL);
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
