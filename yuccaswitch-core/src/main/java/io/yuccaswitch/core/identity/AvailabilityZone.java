package io.yuccaswitch.core.identity;

/**
 * The name of an availability zone.
 *
 * @param value The name as text: letters, digits, dots, hyphens and underscores.
 */
public record AvailabilityZone(String value) implements Comparable<AvailabilityZone> {

    /** Checks the name. */
    public AvailabilityZone {
        Names.check(value);
    }

    /** {@inheritDoc} */
    @Override
    public int compareTo(AvailabilityZone other) {
        return value.compareTo(other.value);
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return value;
    }
}
