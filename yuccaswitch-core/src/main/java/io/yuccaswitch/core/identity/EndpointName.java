package io.yuccaswitch.core.identity;

import java.util.Comparator;

/**
 * The name of one start of an endpoint: a back end that serves requests, such as a model engine or a plain service. An
 * endpoint that starts again under its name is another one, which holds and knows nothing of before.
 *
 * @param pool The pool that the endpoint belongs to.
 * @param value The endpoint's name within its pool.
 * @param incarnation Tells the starts under one name apart, the later one being larger; 0 where the endpoint does not
 *     tell.
 */
public record EndpointName(PoolName pool, String value, long incarnation) implements Comparable<EndpointName> {

    /** The incarnation of an endpoint that does not tell its own. */
    public static final long UNTOLD = 0;

    /** The order of names. */
    private static final Comparator<EndpointName> ORDER = Comparator.comparing(EndpointName::pool)
            .thenComparing(EndpointName::value)
            .thenComparingLong(EndpointName::incarnation);

    /** Checks the name. */
    public EndpointName {
        Names.check(value);
    }

    /**
     * Creates the name of an endpoint that does not tell its starts apart.
     *
     * @param pool The pool that the endpoint belongs to.
     * @param value The endpoint's name within its pool.
     */
    public EndpointName(PoolName pool, String value) {
        this(pool, value, UNTOLD);
    }

    /**
     * Returns the name of another start of this endpoint.
     *
     * @param started The incarnation.
     * @return The name.
     */
    public EndpointName withIncarnation(long started) {
        return new EndpointName(pool, value, started);
    }

    /**
     * Returns whether this is an earlier start of an endpoint than another one.
     *
     * @param other The name of a start of the same endpoint.
     * @return {@code true} if both are told and this one is earlier.
     */
    public boolean isBefore(EndpointName other) {
        return incarnation != UNTOLD && incarnation < other.incarnation;
    }

    /** {@inheritDoc} */
    @Override
    public int compareTo(EndpointName other) {
        return ORDER.compare(this, other);
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return incarnation == UNTOLD ? pool + "/" + value : pool + "/" + value + "@" + incarnation;
    }
}
