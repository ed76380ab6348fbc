package io.yuccaswitch.core.lease;

import io.yuccaswitch.core.identity.PoolName;

/**
 * The name of a lease.
 *
 * @param value The name as a string.
 */
public record LeaseName(String value) implements Comparable<LeaseName> {

    /** The prefix of the names of leases for updating the weights of a pool's engines. */
    private static final String WEIGHTS_PREFIX = "weights-";

    /**
     * Returns the lease whose holder updates the weights of a pool's engines.
     *
     * @param pool The pool.
     * @return The lease's name.
     */
    public static LeaseName ofWeights(PoolName pool) {
        return new LeaseName(WEIGHTS_PREFIX + pool);
    }

    /** {@inheritDoc} */
    @Override
    public int compareTo(LeaseName other) {
        return value.compareTo(other.value);
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return value;
    }
}
