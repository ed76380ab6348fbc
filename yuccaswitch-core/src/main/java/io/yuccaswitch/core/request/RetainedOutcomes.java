package io.yuccaswitch.core.request;

import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Iterator;
import java.util.Optional;

/** The table of retained outcomes, bounded by age and by size: the oldest ones are evicted first. */
final class RetainedOutcomes {

    /** The maximum estimated size of all retained outcomes. */
    static final long MAXIMUM_BYTES = 16L * 1024 * 1024;

    /** The retained outcomes in the order in which they were stored. */
    private final EntityTable<RequestId, RetainedOutcome> outcomes = new EntityTable<>();

    /** The estimated size of the retained outcomes, in bytes. */
    private long bytes;

    /**
     * Retains an outcome. A complete answer is never replaced by another outcome.
     *
     * @param answer The outcome to retain.
     */
    void retain(RetainedOutcome answer) {
        Optional<RetainedOutcome> existing = outcomes.find(answer.id());
        if (existing.isPresent() && existing.get().outcome().kind() == RecordedOutcome.Kind.ANSWERED) {
            return;
        }
        existing.ifPresent(this::drop);
        outcomes.put(answer.id(), answer);
        bytes += answer.outcome().estimatedBytes();
        while (bytes > MAXIMUM_BYTES) {
            drop(outcomes.view().iterator().next());
        }
    }

    /**
     * Finds a retained outcome.
     *
     * @param id The identifier of the request.
     * @return The retained outcome, or empty if there is none.
     */
    Optional<RetainedOutcome> find(RequestId id) {
        return outcomes.find(id);
    }

    /**
     * Evicts the outcomes whose retention time has passed.
     *
     * @param now The current time.
     * @param retention The time for which outcomes are retained.
     */
    void expire(MonotonicTime now, Duration retention) {
        Iterator<RetainedOutcome> oldest = outcomes.view().iterator();
        int expired = 0;
        while (oldest.hasNext() && now.since(oldest.next().retainedAt()).compareTo(retention) > 0) {
            expired++;
        }
        for (int count = 0; count < expired; count++) {
            drop(outcomes.view().iterator().next());
        }
    }

    /**
     * Removes an outcome.
     *
     * @param answer The outcome to remove.
     */
    private void drop(RetainedOutcome answer) {
        outcomes.remove(answer.id());
        bytes -= answer.outcome().estimatedBytes();
    }
}
