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
 * A row of the table of engines whose weights this node rolls out.
 *
 * @param name The engine.
 * @param address The engine's address as {@code host:port}.
 * @param availabilityZone The availability zone of the engine.
 * @param reading The last read-back, or empty if there was none since this node became the holder.
 * @param unreachableSince The time since which the engine is unreachable, or empty if it is reachable.
 * @param leaving {@code true} if the engine is leaving and accepts no new work.
 * @param order The order whose success has not been confirmed by a read-back, or empty if there is none.
 * @param failures The failures of orders by model, for each model since it was last read back as ordered.
 * @param nextProbeAt The earliest time of the next read-back.
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

    /** The maximum backoff after a failure. */
    private static final Duration MAXIMUM_BACKOFF = Duration.ofMinutes(5);

    /** The maximum number of times that the backoff is doubled. */
    private static final int MAXIMUM_BACKOFF_DOUBLINGS = 20;

    /** Copies the map. */
    EngineRow {
        failures = Map.copyOf(failures);
    }

    /**
     * Creates the row of an engine that has not been read back.
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
     * @return The version, or empty if the engine holds none or was not read back.
     */
    Optional<Long> loaded(String model) {
        return reading.map(present -> present.versions().get(model));
    }

    /**
     * Returns whether the engine's version of a model is certain: the engine is reachable and was read back, no order
     * may be changing the model, and the engine did not accept a version that the read-back did not show.
     *
     * @param model The model.
     * @return {@code true} if the engine's version of the model is certain.
     */
    boolean isCertain(String model) {
        boolean changing =
                order.filter(current -> current.model().equals(model)).isPresent();
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
     * Returns whether an order has ended whose success is to be confirmed by a read-back.
     *
     * @return {@code true} if an ended order is unconfirmed.
     */
    boolean isAwaitingReadBack() {
        return order.filter(current -> current.phase() != EngineOrder.Phase.IN_FLIGHT)
                .isPresent();
    }

    /**
     * Returns whether orders can be sent to the engine.
     *
     * @return {@code true} if the engine was read back, is reachable and is not leaving.
     */
    boolean isUsable() {
        return reading.isPresent() && unreachableSince.isEmpty() && !leaving;
    }

    /**
     * Returns this row with other settings.
     *
     * @param settings The engine's settings.
     * @return The changed row, which is reset if the address changed.
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
     * @param read The read-back.
     * @param isLeaving {@code true} if the engine is leaving.
     * @param probeAt The earliest time of the next read-back.
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
     * Returns this row after the engine became unreachable.
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
     * Returns this row after the engine announced that it is leaving.
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
     * @param changed The earliest time of the next read-back.
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
     * @param denied {@code true} if the engine accepted the version but the read-back did not show it.
     * @param initialBackoff The backoff after the first failure, which doubles with each further one.
     * @param now The current time.
     * @return The changed row.
     */
    EngineRow withFailure(EngineOrder failed, boolean denied, Duration initialBackoff, MonotonicTime now) {
        int count = failures.containsKey(failed.model())
                ? failures.get(failed.model()).count()
                : 0;
        Duration backoff = initialBackoff.multipliedBy(1L << Math.min(count, MAXIMUM_BACKOFF_DOUBLINGS));
        MonotonicTime retryAt = now.plus(backoff.compareTo(MAXIMUM_BACKOFF) < 0 ? backoff : MAXIMUM_BACKOFF);
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
     * Returns this row without the failures of models that the read-back shows as ordered.
     *
     * @return The changed row.
     */
    EngineRow withoutResolvedFailures() {
        EngineRow remaining = this;
        for (Map.Entry<String, Failure> failure : failures.entrySet()) {
            boolean holds = loaded(failure.getKey())
                    .filter(version -> version >= failure.getValue().version())
                    .isPresent();
            remaining = holds ? remaining.withoutFailure(failure.getKey()) : remaining;
        }
        return remaining;
    }

    /**
     * The versions that were read back from an engine.
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
     * The failures of orders of a model on an engine.
     *
     * @param version The version that was ordered last.
     * @param count The number of consecutive failures.
     * @param denied {@code true} if the engine accepted the version but the read-back did not show it.
     * @param retryAt The earliest time at which the same version is ordered again.
     */
    record Failure(long version, int count, boolean denied, MonotonicTime retryAt) {}
}
