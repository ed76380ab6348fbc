package io.yuccaswitch.core.identity;

/**
 * The name of a pool of endpoints.
 *
 * @param value The name as text: letters, digits, dots, hyphens and underscores.
 */
public record PoolName(String value) implements Comparable<PoolName> {

    /** Checks the name. */
    public PoolName {
        Names.check(value);
    }

    /** {@inheritDoc} */
    @Override
    public int compareTo(PoolName other) {
        return value.compareTo(other.value);
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return value;
    }
}
