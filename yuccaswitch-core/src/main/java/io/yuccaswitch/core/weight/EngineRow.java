package io.yuccaswitch.core.weight;

import io.yuccaswitch.core.configuration.EndpointSettings;
import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * A row of the table of engines that this node brings weights to.
 *
 * @param name The engine.
 * @param address The engine's address as {@code host:port}.
 * @param availabilityZone The availability zone that the engine lies in.
 * @param reading What was last read back, or empty if nothing was since this node became the holder.
 * @param unreachableSince The time since which the engine can't be reached, or empty if it can.
 * @param leaving {@code true} if the engine takes no new work.
 * @param order The order whose success has not been read back, or empty if there is none.
 * @param failures What went wrong with models on this engine since they were last read back as ordered.
 * @param nextProbeAt The time at which the engine is to be read back again.
 */
record EngineRow(
        EndpointName name,
        String address,
        AvailabilityZone availabilityZone,
        Optional<Reading> reading,
        Optional<MonotonicTime> unreachableSince,
        boolean leaving,
        Optional<EngineOrder> order,
        Map<String, Failure> failures,
        MonotonicTime nextProbeAt) {

    /** The longest pause after a failure. */
    private static final Duration LONGEST_BACKOFF = Duration.ofMinutes(5);

    /** The largest number of doublings of the pause. */
    private static final int DOUBLINGS = 20;

    /** Copies the map. */
    EngineRow {
        failures = Map.copyOf(failures);
    }

    /**
     * Creates the row of an engine that nothing is known about.
     *
     * @param name The engine.
     * @param settings The engine's settings.
     * @param now The current time.
     * @return The row.
     */
    static EngineRow unknown(EndpointName name, EndpointSettings settings, MonotonicTime now) {
        return new EngineRow(
                name,
                settings.address(),
                settings.availabilityZone(),
                Optional.empty(),
                Optional.empty(),
                false,
                Optional.empty(),
                Map.of(),
                now);
    }

    /**
     * Returns the version of a model that the engine was last read back to hold.
     *
     * @param model The model.
     * @return The version, or empty if the engine holds none as far as is known.
     */
    Optional<Long> loaded(String model) {
        return reading.map(present -> present.versions().get(model));
    }

    /**
     * Returns whether the engine's word about a model can be trusted: it was read back, no order may be changing it,
     * and the engine did not claim a version that the read-back denies.
     *
     * @param model The model.
     * @return {@code true} if the engine's version of the model is known.
     */
    boolean isCertain(String model) {
        boolean changing = order.filter(given -> given.model().equals(model)).isPresent();
        boolean denied = failures.containsKey(model) && failures.get(model).denied();
        return reading.isPresent() && unreachableSince.isEmpty() && !changing && !denied;
    }

    /**
     * Returns whether the engine may be loading from the weight store.
     *
     * @return {@code true} if the engine may be loading.
     */
    boolean isLoading() {
        return order.filter(EngineOrder::isLoading).isPresent();
    }

    /**
     * Returns whether an order has ended and its success is to be read back.
     *
     * @return {@code true} if an order has ended that was not read back.
     */
    boolean isAwaited() {
        return order.filter(given -> given.phase() != EngineOrder.Phase.FLYING).isPresent();
    }

    /**
     * Returns whether the engine can be given orders.
     *
     * @return {@code true} if the engine was read back, can be reached and is not leaving.
     */
    boolean isUsable() {
        return reading.isPresent() && unreachableSince.isEmpty() && !leaving;
    }

    /**
     * Returns this row with another address.
     *
     * @param settings The engine's settings.
     * @return The changed row, which is unknown if the address changed.
     */
    EngineRow withSettings(EndpointSettings settings) {
        return settings.address().equals(address)
                ? new EngineRow(
                        name,
                        address,
                        settings.availabilityZone(),
                        reading,
                        unreachableSince,
                        leaving,
                        order,
                        failures,
                        nextProbeAt)
                : unknown(name, settings, nextProbeAt);
    }

    /**
     * Returns this row after the engine was read back.
     *
     * @param read What was read back.
     * @param isLeaving {@code true} if the engine said that it is leaving.
     * @param probeAt The time at which the engine is to be read back again.
     * @return The changed row.
     */
    EngineRow withReading(Reading read, boolean isLeaving, MonotonicTime probeAt) {
        return new EngineRow(
                name,
                address,
                availabilityZone,
                Optional.of(read),
                Optional.empty(),
                isLeaving,
                order,
                failures,
                probeAt);
    }

    /**
     * Returns this row after the engine could not be reached.
     *
     * @param now The current time.
     * @return The changed row.
     */
    EngineRow withUnreachable(MonotonicTime now) {
        return new EngineRow(
                name,
                address,
                availabilityZone,
                reading,
                unreachableSince.or(() -> Optional.of(now)),
                leaving,
                order,
                failures,
                nextProbeAt);
    }

    /**
     * Returns this row after it was learned that the engine is leaving.
     *
     * @return The changed row.
     */
    EngineRow withLeaving() {
        return new EngineRow(
                name, address, availabilityZone, reading, unreachableSince, true, order, failures, nextProbeAt);
    }

    /**
     * Returns this row with another order.
     *
     * @param changed The order.
     * @return The changed row.
     */
    EngineRow withOrder(Optional<EngineOrder> changed) {
        return new EngineRow(
                name, address, availabilityZone, reading, unreachableSince, leaving, changed, failures, nextProbeAt);
    }

    /**
     * Returns this row with another time of the next read-back.
     *
     * @param changed The time at which the engine is to be read back again.
     * @return The changed row.
     */
    EngineRow withNextProbeAt(MonotonicTime changed) {
        return new EngineRow(
                name, address, availabilityZone, reading, unreachableSince, leaving, order, failures, changed);
    }

    /**
     * Returns this row after an order failed, without the order.
     *
     * @param failed The order.
     * @param denied {@code true} if the engine claimed the version and the read-back denies it.
     * @param firstBackoff The pause after the first failure, which doubles with each further one.
     * @param now The current time.
     * @return The changed row.
     */
    EngineRow withFailure(EngineOrder failed, boolean denied, Duration firstBackoff, MonotonicTime now) {
        int count = failures.containsKey(failed.model())
                ? failures.get(failed.model()).count()
                : 0;
        Duration backoff = firstBackoff.multipliedBy(1L << Math.min(count, DOUBLINGS));
        MonotonicTime retryAt = now.plus(backoff.compareTo(LONGEST_BACKOFF) < 0 ? backoff : LONGEST_BACKOFF);
        Map<String, Failure> extended = new HashMap<>(failures);
        extended.put(failed.model(), new Failure(failed.version(), count + 1, denied, retryAt));
        return new EngineRow(
                name,
                address,
                availabilityZone,
                reading,
                unreachableSince,
                leaving,
                Optional.empty(),
                extended,
                nextProbeAt);
    }

    /**
     * Returns this row without the failures of a model.
     *
     * @param model The model.
     * @return The changed row.
     */
    EngineRow withoutFailure(String model) {
        if (!failures.containsKey(model)) {
            return this;
        }
        Map<String, Failure> reduced = new HashMap<>(failures);
        reduced.remove(model);
        return new EngineRow(
                name, address, availabilityZone, reading, unreachableSince, leaving, order, reduced, nextProbeAt);
    }

    /**
     * Returns this row without the failures of models that the engine was read back to hold as ordered.
     *
     * @return The changed row.
     */
    EngineRow withoutHealedFailures() {
        EngineRow healed = this;
        for (Map.Entry<String, Failure> failure : failures.entrySet()) {
            boolean holds = loaded(failure.getKey())
                    .filter(version -> version >= failure.getValue().version())
                    .isPresent();
            healed = holds ? healed.withoutFailure(failure.getKey()) : healed;
        }
        return healed;
    }

    /**
     * What was read back from an engine.
     *
     * @param incarnation The engine's incarnation.
     * @param versions The versions that the engine holds, by model.
     */
    record Reading(String incarnation, Map<String, Long> versions) {

        /**
         * Copies the map.
         *
         * @param incarnation The engine's incarnation.
         * @param versions The versions that the engine holds, by model.
         */
        Reading {
            versions = Map.copyOf(versions);
        }
    }

    /**
     * What went wrong with a model on an engine.
     *
     * @param version The version that was ordered last.
     * @param count The number of failures in a row.
     * @param denied {@code true} if the engine claimed the version and the read-back denies it.
     * @param retryAt The time before which the same version is not ordered again.
     */
    record Failure(long version, int count, boolean denied, MonotonicTime retryAt) {}
}
