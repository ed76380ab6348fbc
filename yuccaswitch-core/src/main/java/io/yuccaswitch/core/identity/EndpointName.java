package io.yuccaswitch.core.identity;

import java.util.Comparator;

/**
 * The name of one incarnation of an endpoint: a back end that serves requests, such as a model engine or a plain
 * service. An endpoint that restarts under its name is a different endpoint, which has none of the previous state.
 *
 * @param pool The pool that the endpoint belongs to.
 * @param value The endpoint's name within its pool.
 * @param incarnation The incarnation, which increases with each restart under the same name; 0 if the endpoint does not
 *     report its incarnation.
 */
public record EndpointName(PoolName pool, String value, long incarnation) implements Comparable<EndpointName> {

    /** The incarnation of an endpoint that does not report one. */
    public static final long UNKNOWN = 0;

    /** The order of names. */
    private static final Comparator<EndpointName> ORDER = Comparator.comparing(EndpointName::pool)
            .thenComparing(EndpointName::value)
            .thenComparingLong(EndpointName::incarnation);

    /** Checks the name. */
    public EndpointName {
        Names.check(value);
    }

    /**
     * Creates the name of an endpoint that does not report its incarnation.
     *
     * @param pool The pool that the endpoint belongs to.
     * @param value The endpoint's name within its pool.
     */
    public EndpointName(PoolName pool, String value) {
        this(pool, value, UNKNOWN);
    }

    /**
     * Returns the name of another incarnation of this endpoint.
     *
     * @param changed The incarnation.
     * @return The name.
     */
    public EndpointName withIncarnation(long changed) {
        return new EndpointName(pool, value, changed);
    }

    /**
     * Returns whether this is an earlier incarnation of an endpoint than another one.
     *
     * @param other The name of an incarnation of the same endpoint.
     * @return {@code true} if both incarnations are reported and this one is earlier.
     */
    public boolean isBefore(EndpointName other) {
        return incarnation != UNKNOWN && incarnation < other.incarnation;
    }

    /** {@inheritDoc} */
    @Override
    public int compareTo(EndpointName other) {
        return ORDER.compare(this, other);
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return incarnation == UNKNOWN ? pool + "/" + value : pool + "/" + value + "@" + incarnation;
    }
}
