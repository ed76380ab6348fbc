package io.yuccaswitch.core.identity;

/**
 * The name of an endpoint: a back end that serves requests, such as a model engine or a plain service.
 *
 * @param pool The pool that the endpoint belongs to.
 * @param value The endpoint's name within its pool.
 */
public record EndpointName(PoolName pool, String value) implements Comparable<EndpointName> {

    /** Checks the name. */
    public EndpointName {
        Names.check(value);
    }

    /** {@inheritDoc} */
    @Override
    public int compareTo(EndpointName other) {
        int byPool = pool.compareTo(other.pool);
        return byPool != 0 ? byPool : value.compareTo(other.value);
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return pool + "/" + value;
    }
}
