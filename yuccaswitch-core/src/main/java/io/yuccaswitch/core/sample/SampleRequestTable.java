package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.request.RequestId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** The table of requests in progress for samples, and the requests to cancel. */
final class SampleRequestTable {

    /** The requests in progress. */
    private final EntityTable<RequestId, SampleRequest> sampleRequests = new EntityTable<>();

    /** The requests to cancel. */
    private final List<RequestId> cancelled = new ArrayList<>();

    /**
     * Adds or replaces a request.
     *
     * @param sampleRequest The request.
     */
    void put(SampleRequest sampleRequest) {
        sampleRequests.put(sampleRequest.id(), sampleRequest);
    }

    /**
     * Finds a request.
     *
     * @param id The identifier.
     * @return The request, or empty if it is not in progress.
     */
    Optional<SampleRequest> find(RequestId id) {
        return sampleRequests.find(id);
    }

    /**
     * Removes a request that has ended.
     *
     * @param id The identifier.
     * @return The request, or empty if it was not in progress.
     */
    Optional<SampleRequest> remove(RequestId id) {
        return sampleRequests.remove(id);
    }

    /**
     * Cancels the generations of a group, and drops its scorings from this table. Scorings continue to run, as the
     * calls of a scorer may not be repeatable.
     *
     * @param key The identity of the group.
     */
    void cancel(GroupKey key) {
        for (SampleRequest sampleRequest : sampleRequests.rows()) {
            if (sampleRequest.key().equals(key)) {
                cancel(sampleRequest);
            }
        }
    }

    /**
     * Removes a request, and cancels it unless it is a scoring.
     *
     * @param sampleRequest The request.
     */
    void cancel(SampleRequest sampleRequest) {
        sampleRequests.remove(sampleRequest.id());
        if (!sampleRequest.scoring()) {
            cancelled.add(sampleRequest.id());
        }
    }

    /**
     * Removes and returns the requests to cancel.
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
    List<SampleRequest> rows() {
        return sampleRequests.rows();
    }

    /**
     * Counts the requests in progress.
     *
     * @param pool The pool that serves them.
     * @return The number of requests.
     */
    int count(PoolName pool) {
        return (int) sampleRequests.view().stream()
                .filter(sampleRequest -> sampleRequest.pool().equals(pool))
                .count();
    }
}
