package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.request.RequestId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** The requests in progress for samples, and those that are to be cancelled. */
final class FlightTable {

    /** The requests in progress. */
    private final EntityTable<RequestId, Flight> flights = new EntityTable<>();

    /** The requests that are to be cancelled. */
    private final List<RequestId> cancelled = new ArrayList<>();

    /**
     * Adds or replaces a request.
     *
     * @param flight The request.
     */
    void put(Flight flight) {
        flights.put(flight.id(), flight);
    }

    /**
     * Finds a request.
     *
     * @param id The identifier.
     * @return The request, or empty if it is not in progress.
     */
    Optional<Flight> find(RequestId id) {
        return flights.find(id);
    }

    /**
     * Removes a request that has ended.
     *
     * @param id The identifier.
     * @return The request, or empty if it was not in progress.
     */
    Optional<Flight> remove(RequestId id) {
        return flights.remove(id);
    }

    /**
     * Cancels the generations of a group. Scorings go on, as a scorer may not be called again.
     *
     * @param key The identity of the group.
     */
    void cancel(GroupKey key) {
        for (Flight flight : flights.rows()) {
            if (flight.key().equals(key)) {
                cancel(flight);
            }
        }
    }

    /**
     * Cancels a request, unless it is a scoring.
     *
     * @param flight The request.
     */
    void cancel(Flight flight) {
        flights.remove(flight.id());
        if (!flight.scoring()) {
            cancelled.add(flight.id());
        }
    }

    /**
     * Takes the requests that are to be cancelled.
     *
     * @return The identifiers.
     */
    List<RequestId> takeCancelled() {
        List<RequestId> taken = List.copyOf(cancelled);
        cancelled.clear();
        return taken;
    }

    /**
     * Returns the requests in progress.
     *
     * @return The requests.
     */
    List<Flight> rows() {
        return flights.rows();
    }

    /**
     * Counts the requests in progress.
     *
     * @param pool The pool that serves them.
     * @return The number of requests.
     */
    int count(PoolName pool) {
        return (int) flights.view().stream()
                .filter(flight -> flight.pool().equals(pool))
                .count();
    }
}
