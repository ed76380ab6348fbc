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
 * @param observation The last observation of the platform's object, or empty before the first one.
 * @param call The call that is in flight, or empty if there is none.
 * @param holding The holding of this node, or empty if it is not the holder.
 * @param unconfirmed The writes without an answer, which may have been applied or may still be.
 * @param readRequired {@code true} if the object must be read before it is written again.
 * @param nextCallAt The time before which no further call is made.
 */
record LeaseRow(
        LeaseName name,
        Optional<Observation> observation,
        Optional<Call> call,
        Optional<Holding> holding,
        List<Attempt> unconfirmed,
        boolean readRequired,
        MonotonicTime nextCallAt) {

    /** Copies the list. */
    LeaseRow {
        unconfirmed = List.copyOf(unconfirmed);
    }

    /**
     * Creates the row of a lease that has not been observed yet.
     *
     * @param name The lease's name.
     * @param now The current time.
     * @return The row.
     */
    static LeaseRow create(LeaseName name, MonotonicTime now) {
        return new LeaseRow(name, Optional.empty(), Optional.empty(), Optional.empty(), List.of(), false, now);
    }

    /**
     * Returns the last observed record.
     *
     * @return The record, or empty if there is none.
     */
    Optional<LeaseRecord> record() {
        return observation.flatMap(Observation::record);
    }

    /**
     * Returns the last observed version of the object.
     *
     * @return The version, or zero if no object has been observed.
     */
    long observedVersion() {
        return observation.map(latest -> latest.version().orElse(0)).orElse(0L);
    }

    /**
     * Finds the unconfirmed write of this node that resulted in a record.
     *
     * @param observed The record.
     * @return The write, or empty if no unconfirmed write did.
     */
    Optional<Attempt> unconfirmedAttempt(LeaseRecord observed) {
        return unconfirmed.stream()
                .filter(attempt -> attempt.written().equals(observed))
                .findFirst();
    }

    /**
     * Returns this row with an observation.
     *
     * @param observed The observation.
     * @return The changed row, which needs no read before the next write.
     */
    LeaseRow withObservation(Observation observed) {
        return new LeaseRow(name, Optional.of(observed), call, holding, unconfirmed, false, nextCallAt);
    }

    /**
     * Returns this row with a call in flight.
     *
     * @param made The call.
     * @return The changed row.
     */
    LeaseRow withCall(Call made) {
        return new LeaseRow(name, observation, Optional.of(made), holding, unconfirmed, readRequired, nextCallAt);
    }

    /**
     * Returns this row without a call in flight.
     *
     * @param pauseUntil The time before which no further call is made.
     * @return The changed row.
     */
    LeaseRow withoutCall(MonotonicTime pauseUntil) {
        return new LeaseRow(name, observation, Optional.empty(), holding, unconfirmed, readRequired, pauseUntil);
    }

    /**
     * Returns this row with another time of the next call.
     *
     * @param changed The time before which no further call is made.
     * @return The changed row.
     */
    LeaseRow withNextCallAt(MonotonicTime changed) {
        return new LeaseRow(name, observation, call, holding, unconfirmed, readRequired, changed);
    }

    /**
     * Returns this row with a holding.
     *
     * @param held The holding.
     * @return The changed row.
     */
    LeaseRow withHolding(Holding held) {
        return new LeaseRow(name, observation, call, Optional.of(held), unconfirmed, readRequired, nextCallAt);
    }

    /**
     * Returns this row without a holding.
     *
     * @return The changed row.
     */
    LeaseRow withoutHolding() {
        return new LeaseRow(name, observation, call, Optional.empty(), unconfirmed, readRequired, nextCallAt);
    }

    /**
     * Returns this row with a write that got no answer.
     *
     * @param attempt The write.
     * @return The changed row, which must be read before the next write.
     */
    LeaseRow withUnconfirmed(Attempt attempt) {
        List<Attempt> extended = new ArrayList<>(unconfirmed);
        extended.add(attempt);
        return new LeaseRow(name, observation, call, holding, extended, true, nextCallAt);
    }

    /**
     * Returns this row after the VM was suspended while its clock stopped. The validity of this node's holding, calls
     * and writes is shortened by the gap; another node's holding is not considered to have expired during the gap, as
     * the observation keeps its times.
     *
     * @param gap The duration of the suspension.
     * @return The changed row.
     */
    LeaseRow withSuspension(Duration gap) {
        return new LeaseRow(
                name,
                observation,
                call.map(made -> made.earlier(gap)),
                holding.map(held -> held.earlier(gap)),
                unconfirmed.stream().map(attempt -> attempt.earlier(gap)).toList(),
                readRequired,
                nextCallAt);
    }

    /**
     * Returns this row without the writes that could no longer make this node the holder if they took effect.
     *
     * @param now The current time.
     * @return The changed row.
     */
    LeaseRow withoutExpiredAttempts(MonotonicTime now) {
        List<Attempt> kept = unconfirmed.stream()
                .filter(attempt ->
                        now.isBefore(attempt.emittedAt().plus(attempt.written().duration())))
                .toList();
        return kept.size() == unconfirmed.size()
                ? this
                : new LeaseRow(name, observation, call, holding, kept, readRequired, nextCallAt);
    }

    /**
     * An observation of the platform's object.
     *
     * @param version The object's version, or empty if there is no object.
     * @param record The record, or empty if there is no object or its value is not a valid record.
     * @param unchangedSince The time at which this version was first observed in the current series of observations
     *     without a gap.
     * @param observedAt The time at which this version was last observed.
     */
    record Observation(
            OptionalLong version,
            Optional<LeaseRecord> record,
            MonotonicTime unchangedSince,
            MonotonicTime observedAt) {

        /**
         * Returns whether the lease has no holder.
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
     * @param emittedAt The start of the validity of the lease if the write is applied.
     * @param written The record that was written.
     */
    record Attempt(MonotonicTime emittedAt, LeaseRecord written) {

        /**
         * Returns this write with an earlier start of validity.
         *
         * @param time The time by which it is earlier.
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
         * Returns this call with an earlier start of validity of its write.
         *
         * @param time The time by which it is earlier.
         * @return The call.
         */
        Call earlier(Duration time) {
            return new Call(token, attempt.map(made -> made.earlier(time)));
        }
    }

    /**
     * The holding of a lease by this node.
     *
     * @param base The base of the fencing number.
     * @param since The time since which this node has continuously been the holder.
     * @param renewedAt The start of the validity.
     * @param validUntil The time at which this node stops acting as the holder.
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
         * Returns this holding as if it had been renewed earlier.
         *
         * @param time The time by which it is earlier.
         * @return The holding.
         */
        Holding earlier(Duration time) {
            return new Holding(base, since, renewedAt.plus(time.negated()), validUntil.plus(time.negated()));
        }

        /**
         * Returns the time at which the lease is to be renewed.
         *
         * @param duration The duration of the lease.
         * @param parts The number of equal parts of the duration. The lease is renewed after the first part.
         * @return The time at which the lease is to be renewed.
         */
        MonotonicTime renewAt(Duration duration, int parts) {
            return renewedAt.plus(duration.dividedBy(parts));
        }
    }
}
