package io.yuccaswitch.core.peer;

import io.yuccaswitch.core.identity.NodeIdentity;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Allocates the numbers by which a node matches the answers of other nodes to its requests. Answers are addressed to
 * the name of a node, so one to a request of an earlier incarnation may arrive after a restart. Incarnations therefore
 * use different numbers.
 */
public final class RequestNumbers {

    /** The distance between the first numbers of two successive incarnations. */
    private static final long NUMBERS_PER_INCARNATION = 1L << 20;

    /** The number that was allocated last. */
    private final AtomicLong last;

    /**
     * Creates a sequence of numbers.
     *
     * @param self The incarnation of this node.
     */
    public RequestNumbers(NodeIdentity self) {
        last = new AtomicLong(self.incarnation() * NUMBERS_PER_INCARNATION);
    }

    /**
     * Returns a number that neither this incarnation nor an earlier one has used.
     *
     * @return The number.
     */
    public long next() {
        return last.incrementAndGet();
    }
}
