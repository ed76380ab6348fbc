package io.yuccaswitch.core.request;

import java.util.HashMap;
import java.util.Map;

/**
 * The ids of non-idempotent requests that this incarnation of the node has sent, retained for as long as the ids could
 * be accepted again. Ids of an expired window are no longer accepted, so the digests of that window are removed.
 */
final class ConcludedIds {

    /** The number of windows before and after the current one whose ids are accepted. */
    static final int ACCEPTED_WINDOWS = 10;

    /** The maximum number of ids of one window. */
    static final int MAXIMUM_IDS_PER_WINDOW = 16 * IdDigests.FILTER_CAPACITY;

    /** The maximum number of ids without a window, over the whole incarnation of the node. */
    static final int MAXIMUM_IDS_WITHOUT_WINDOW = 64 * IdDigests.FILTER_CAPACITY;

    /** The digests by window, with those of ids without a window under {@link RequestClock#NO_WINDOW}. */
    private final Map<Long, IdDigests> digests = new HashMap<>();

    /**
     * Returns whether an id may be sent.
     *
     * @param id The id.
     * @param window The window of the id, or {@link RequestClock#NO_WINDOW}.
     * @param current The current window.
     * @return The status of the id.
     */
    Status status(RequestId id, long window, long current) {
        if (window != RequestClock.NO_WINDOW && window < current - ACCEPTED_WINDOWS) {
            return Status.EXPIRED;
        }
        if (window > current + ACCEPTED_WINDOWS) {
            return Status.AHEAD;
        }
        IdDigests existing = digests.get(window);
        if (existing == null) {
            return Status.ADMISSIBLE;
        }
        if (existing.mayContain(id)) {
            return Status.CONCLUDED;
        }
        int limit = window == RequestClock.NO_WINDOW ? MAXIMUM_IDS_WITHOUT_WINDOW : MAXIMUM_IDS_PER_WINDOW;
        return existing.size() < limit ? Status.ADMISSIBLE : Status.FULL;
    }

    /**
     * Records that an id was sent.
     *
     * @param id The id.
     * @param window The window of the id, or {@link RequestClock#NO_WINDOW}.
     */
    void record(RequestId id, long window) {
        digests.computeIfAbsent(window, _window -> new IdDigests()).add(id);
    }

    /**
     * Removes the digests of windows whose ids are no longer accepted.
     *
     * @param current The current window, which never decreases between calls.
     */
    void expire(long current) {
        digests.keySet().removeIf(window -> window != RequestClock.NO_WINDOW && window < current - ACCEPTED_WINDOWS);
    }

    /** The status of an id, which determines whether it may be sent. */
    enum Status {
        /** The id is known not to have been sent. */
        ADMISSIBLE,
        /** The id was sent before. */
        CONCLUDED,
        /** The id is too old to determine whether it was sent. */
        EXPIRED,
        /** The window of the id is in the future, and the id was not sent. */
        AHEAD,
        /**
         * The id is known not to have been sent, but can't be recorded because the maximum number of ids is reached.
         */
        FULL
    }
}
