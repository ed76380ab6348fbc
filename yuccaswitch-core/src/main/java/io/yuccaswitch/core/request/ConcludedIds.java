package io.yuccaswitch.core.request;

import java.util.HashMap;
import java.util.Map;

/**
 * The ids of non-idempotent requests that this life of the node has sent, kept for as long as they could be accepted
 * again. Ids of a window that is too old are not accepted any more, so its digests can go.
 */
final class ConcludedIds {

    /** The number of windows before and after the present one whose ids are accepted. */
    static final int ACCEPTED_WINDOWS = 10;

    /** The largest number of ids of one window. */
    static final int WINDOW_LIMIT = 16 * IdDigests.FILTER_CAPACITY;

    /** The largest number of ids without a window, over the whole life of the node. */
    static final int LIFETIME_LIMIT = 64 * IdDigests.FILTER_CAPACITY;

    /** The digests by window, with those of ids without a window under {@link RequestClock#NO_WINDOW}. */
    private final Map<Long, IdDigests> digests = new HashMap<>();

    /**
     * Tells whether an id may be sent.
     *
     * @param id The id.
     * @param window The window of the id, or {@link RequestClock#NO_WINDOW}.
     * @param current The present window.
     * @return The standing of the id.
     */
    Standing standing(RequestId id, long window, long current) {
        if (window != RequestClock.NO_WINDOW && window < current - ACCEPTED_WINDOWS) {
            return Standing.EXPIRED;
        }
        if (window > current + ACCEPTED_WINDOWS) {
            return Standing.AHEAD;
        }
        IdDigests known = digests.get(window);
        if (known == null) {
            return Standing.ADMISSIBLE;
        }
        if (known.mayContain(id)) {
            return Standing.CONCLUDED;
        }
        int limit = window == RequestClock.NO_WINDOW ? LIFETIME_LIMIT : WINDOW_LIMIT;
        return known.size() < limit ? Standing.ADMISSIBLE : Standing.FULL;
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
     * Drops the digests of windows whose ids are not accepted any more.
     *
     * @param current The present window, never before that of an earlier call.
     */
    void expire(long current) {
        digests.keySet().removeIf(window -> window != RequestClock.NO_WINDOW && window < current - ACCEPTED_WINDOWS);
    }

    /** Whether an id may be sent. */
    enum Standing {
        /** The id was surely not sent. */
        ADMISSIBLE,
        /** The id was sent before. */
        CONCLUDED,
        /** The id is too old to tell. */
        EXPIRED,
        /** The id names a window in the future and was not sent. */
        AHEAD,
        /** The id was surely not sent, but there is no room to remember it. */
        FULL
    }
}
