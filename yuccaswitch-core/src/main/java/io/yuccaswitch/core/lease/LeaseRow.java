package io.yuccaswitch.core.lease;

import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * A row of the table of leases.
 *
 * @param name The lease's name.
 * @param observation What the platform last showed, or empty if it showed nothing yet.
 * @param call The call that is in flight, or empty if there is none.
 * @param holding What makes this node the holder, or empty if it is not.
 * @param unsettled The writes whose answers were lost, and which may have taken effect or may yet do so.
 * @param doubtful {@code true} if the object must be read before it is written again.
 * @param nextCallAt The time before which no further call is made.
 */
record LeaseRow(
        LeaseName name,
        Optional<Observation> observation,
        Optional<Call> call,
        Optional<Holding> holding,
        List<Attempt> unsettled,
        boolean doubtful,
        MonotonicTime nextCallAt) {

    /** Copies the list. */
    LeaseRow {
        unsettled = List.copyOf(unsettled);
    }

    /**
     * Creates the row of a lease that nothing is known about.
     *
     * @param name The lease's name.
     * @param now The current time.
     * @return The row.
     */
    static LeaseRow unknown(LeaseName name, MonotonicTime now) {
        return new LeaseRow(name, Optional.empty(), Optional.empty(), Optional.empty(), List.of(), false, now);
    }

    /**
     * Returns the record that the platform last showed.
     *
     * @return The record, or empty if there is none.
     */
    Optional<LeaseRecord> record() {
        return observation.flatMap(Observation::record);
    }

    /**
     * Returns the version of the object that the platform last showed.
     *
     * @return The version, or zero if there is no object as far as is known.
     */
    long seenVersion() {
        return observation.map(seen -> seen.version().orElse(0)).orElse(0L);
    }

    /**
     * Finds the write of this node that brought about a record.
     *
     * @param shown The record.
     * @return The write, or empty if none that is unsettled did.
     */
    Optional<Attempt> unsettledAttempt(LeaseRecord shown) {
        return unsettled.stream()
                .filter(attempt -> attempt.written().equals(shown))
                .findFirst();
    }

    /**
     * Returns this row with what the platform showed.
     *
     * @param shown What the platform showed.
     * @return The changed row, of which nothing is doubtful.
     */
    LeaseRow withObservation(Observation shown) {
        return new LeaseRow(name, Optional.of(shown), call, holding, unsettled, false, nextCallAt);
    }

    /**
     * Returns this row with a call in flight.
     *
     * @param made The call.
     * @return The changed row.
     */
    LeaseRow withCall(Call made) {
        return new LeaseRow(name, observation, Optional.of(made), holding, unsettled, doubtful, nextCallAt);
    }

    /**
     * Returns this row without a call in flight.
     *
     * @param pauseUntil The time before which no further call is made.
     * @return The changed row.
     */
    LeaseRow withoutCall(MonotonicTime pauseUntil) {
        return new LeaseRow(name, observation, Optional.empty(), holding, unsettled, doubtful, pauseUntil);
    }

    /**
     * Returns this row with another time of the next call.
     *
     * @param changed The time before which no further call is made.
     * @return The changed row.
     */
    LeaseRow withNextCallAt(MonotonicTime changed) {
        return new LeaseRow(name, observation, call, holding, unsettled, doubtful, changed);
    }

    /**
     * Returns this row with a holding.
     *
     * @param held The holding.
     * @return The changed row.
     */
    LeaseRow withHolding(Holding held) {
        return new LeaseRow(name, observation, call, Optional.of(held), unsettled, doubtful, nextCallAt);
    }

    /**
     * Returns this row without a holding.
     *
     * @return The changed row.
     */
    LeaseRow withoutHolding() {
        return new LeaseRow(name, observation, call, Optional.empty(), unsettled, doubtful, nextCallAt);
    }

    /**
     * Returns this row with a write whose answer was lost.
     *
     * @param attempt The write.
     * @return The changed row, which is doubtful.
     */
    LeaseRow withUnsettled(Attempt attempt) {
        List<Attempt> extended = new ArrayList<>(unsettled);
        extended.add(attempt);
        return new LeaseRow(name, observation, call, holding, extended, true, nextCallAt);
    }

    /**
     * Returns this row after the machine was suspended. What makes this node the holder has gone on to pass meanwhile;
     * what makes another one the holder is not taken to have ended.
     *
     * @param gap For how long the machine was suspended.
     * @return The changed row.
     */
    LeaseRow withSuspension(Duration gap) {
        return new LeaseRow(
                name,
                observation,
                call.map(made -> made.earlier(gap)),
                holding.map(held -> held.earlier(gap)),
                unsettled.stream().map(attempt -> attempt.earlier(gap)).toList(),
                doubtful,
                nextCallAt);
    }

    /**
     * Returns this row without the writes that could no longer make this node the holder if they took effect.
     *
     * @param now The current time.
     * @return The changed row.
     */
    LeaseRow withoutExpiredAttempts(MonotonicTime now) {
        List<Attempt> kept = unsettled.stream()
                .filter(attempt ->
                        now.isBefore(attempt.emittedAt().plus(attempt.written().duration())))
                .toList();
        return kept.size() == unsettled.size()
                ? this
                : new LeaseRow(name, observation, call, holding, kept, doubtful, nextCallAt);
    }

    /**
     * What the platform showed.
     *
     * @param version The object's version, or empty if there is no object.
     * @param record The record, or empty if there is no object or its value is no record.
     * @param unchangedSince The time at which this version was first seen in an unbroken series of observations.
     * @param seenAt The time at which this version was last seen.
     */
    record Observation(
            OptionalLong version, Optional<LeaseRecord> record, MonotonicTime unchangedSince, MonotonicTime seenAt) {

        /**
         * Returns whether nobody holds the lease.
         *
         * @return {@code true} if there is no object or its holder released it.
         */
        boolean isFree() {
            return version.isEmpty()
                    || record.filter(known -> known.holder().isEmpty()).isPresent();
        }
    }

    /**
     * A write of this node.
     *
     * @param emittedAt The time from which the validity of the lease counts if the write takes effect.
     * @param written The record that was written.
     */
    record Attempt(MonotonicTime emittedAt, LeaseRecord written) {

        /**
         * Returns this write as one that was made earlier.
         *
         * @param time How much earlier.
         * @return The write.
         */
        Attempt earlier(Duration time) {
            return new Attempt(emittedAt.plus(time.negated()), written);
        }
    }

    /**
     * A call in flight.
     *
     * @param token The token of the call.
     * @param attempt The write, or empty if the call reads.
     */
    record Call(long token, Optional<Attempt> attempt) {

        /**
         * Returns this call as one that was made earlier.
         *
         * @param time How much earlier.
         * @return The call.
         */
        Call earlier(Duration time) {
            return new Call(token, attempt.map(made -> made.earlier(time)));
        }
    }

    /**
     * What makes this node the holder.
     *
     * @param base The base of the fencing number.
     * @param since The time since which this node is the holder without a break.
     * @param renewedAt The time from which the validity counts.
     * @param validUntil The time at which this node stops to act as the holder.
     */
    record Holding(long base, MonotonicTime since, MonotonicTime renewedAt, MonotonicTime validUntil) {

        /**
         * Returns the fencing number.
         *
         * @return The fencing number.
         */
        long fencingNumber() {
            return FencingNumbers.of(base, 0);
        }

        /**
         * Returns this holding as one that was renewed earlier.
         *
         * @param time How much earlier.
         * @return The holding.
         */
        Holding earlier(Duration time) {
            return new Holding(base, since, renewedAt.plus(time.negated()), validUntil.plus(time.negated()));
        }

        /**
         * Returns the time at which the lease is to be renewed.
         *
         * @param duration The duration of the lease.
         * @param parts The number of parts of the duration after the first of which the lease is renewed.
         * @return The time at which the lease is to be renewed.
         */
        MonotonicTime renewAt(Duration duration, int parts) {
            return renewedAt.plus(duration.dividedBy(parts));
        }
    }
}
