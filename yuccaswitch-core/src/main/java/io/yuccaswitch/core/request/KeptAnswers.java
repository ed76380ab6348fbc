package io.yuccaswitch.core.request;

import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Iterator;
import java.util.Optional;

/** The table of kept answers, bounded in time and in bytes: the oldest ones go first. */
final class KeptAnswers {

    /** The largest number of bytes that kept answers take. */
    static final long MAXIMUM_BYTES = 16L * 1024 * 1024;

    /** The answers in the order in which they were kept. */
    private final EntityTable<RequestId, KeptAnswer> answers = new EntityTable<>();

    /** The number of bytes that the answers take. */
    private long bytes;

    /**
     * Keeps an answer. A whole answer is never replaced by another outcome.
     *
     * @param answer The answer to keep.
     */
    void keep(KeptAnswer answer) {
        Optional<KeptAnswer> known = answers.find(answer.id());
        if (known.isPresent() && known.get().outcome().kind() == RecordedOutcome.Kind.ANSWERED) {
            return;
        }
        known.ifPresent(this::drop);
        answers.put(answer.id(), answer);
        bytes += answer.outcome().estimatedBytes();
        while (bytes > MAXIMUM_BYTES) {
            drop(answers.view().iterator().next());
        }
    }

    /**
     * Finds an answer.
     *
     * @param id The identifier of the request.
     * @return The answer, or empty if none is kept.
     */
    Optional<KeptAnswer> find(RequestId id) {
        return answers.find(id);
    }

    /**
     * Drops the answers whose time is over.
     *
     * @param now The time.
     * @param retention The time for which answers are kept.
     */
    void expire(MonotonicTime now, Duration retention) {
        Iterator<KeptAnswer> oldest = answers.view().iterator();
        int expired = 0;
        while (oldest.hasNext() && now.since(oldest.next().keptAt()).compareTo(retention) > 0) {
            expired++;
        }
        for (int count = 0; count < expired; count++) {
            drop(answers.view().iterator().next());
        }
    }

    /**
     * Drops an answer.
     *
     * @param answer The answer to drop.
     */
    private void drop(KeptAnswer answer) {
        answers.remove(answer.id());
        bytes -= answer.outcome().estimatedBytes();
    }
}
