package io.yuccaswitch.endpoint;

import java.util.Collections;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.Optional;
import java.util.Set;

/**
 * Bounds the memory that all answers together take while they are read. Beyond the bound, the largest answer is broken
 * off: answers without end grow above all others, so that complete ones are spared.
 */
public final class AnswerMemory {

    /** The part of the heap that answers may take. */
    private static final long HEAP_DIVISOR = 4;

    /** The maximum number of bytes of all answers. */
    private final long maximumBytes;

    /** The answers that are being read and were not broken off. */
    private final Set<Share> shares = Collections.newSetFromMap(new IdentityHashMap<>());

    /** The number of bytes of these answers. */
    private long heldBytes;

    /**
     * Creates a bound.
     *
     * @param maximumBytes The maximum number of bytes of all answers.
     */
    public AnswerMemory(long maximumBytes) {
        this.maximumBytes = maximumBytes;
    }

    /**
     * Creates a bound of a quarter of the heap.
     *
     * @return The bound.
     */
    public static AnswerMemory ofHeap() {
        return new AnswerMemory(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
    }

    /**
     * Starts to read an answer.
     *
     * @param onBreakOff Breaks off the answer. It may be called on any thread, and must not block.
     * @return The share of the answer, to close once the answer was read.
     */
    public synchronized Share open(Runnable onBreakOff) {
        Share share = new Share(onBreakOff);
        shares.add(share);
        return share;
    }

    /**
     * Adds bytes to a share.
     *
     * @param share The share.
     * @param bytes The number of bytes.
     * @return The share to break off, or empty while the bound is kept.
     */
    private synchronized Optional<Share> add(Share share, long bytes) {
        if (!shares.contains(share)) {
            return Optional.empty();
        }
        share.bytes += bytes;
        heldBytes += bytes;
        if (heldBytes <= maximumBytes) {
            return Optional.empty();
        }
        Optional<Share> largest = shares.stream().max(Comparator.comparingLong(candidate -> candidate.bytes));
        largest.ifPresent(this::remove);
        return largest;
    }

    /**
     * Removes a share.
     *
     * @param share The share.
     */
    private synchronized void remove(Share share) {
        if (shares.remove(share)) {
            heldBytes -= share.bytes;
        }
    }

    /** The memory that one answer takes. */
    public final class Share implements AutoCloseable {

        /** Breaks off the answer. */
        private final Runnable onBreakOff;

        /** The number of bytes, guarded by the enclosing object. */
        private long bytes;

        /** Whether the answer was broken off. */
        private volatile boolean brokenOff;

        /**
         * Creates a share without bytes.
         *
         * @param onBreakOff Breaks off the answer.
         */
        private Share(Runnable onBreakOff) {
            this.onBreakOff = onBreakOff;
        }

        /**
         * Adds bytes that were read. If all answers now exceed the bound, the largest one is broken off.
         *
         * @param count The number of bytes.
         * @return {@code false} if this answer was broken off.
         */
        public boolean add(long count) {
            AnswerMemory.this.add(this, count).ifPresent(largest -> {
                largest.brokenOff = true;
                largest.onBreakOff.run();
            });
            return !brokenOff;
        }

        /**
         * Returns whether this answer was broken off.
         *
         * @return {@code true} if it was the largest one when all answers exceeded the bound.
         */
        public boolean isBrokenOff() {
            return brokenOff;
        }

        /** {@inheritDoc} */
        @Override
        public void close() {
            remove(this);
        }
    }
}
