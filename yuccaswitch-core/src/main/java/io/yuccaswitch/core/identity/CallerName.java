package io.yuccaswitch.core.identity;

/**
 * The name of a caller.
 *
 * @param value The name as text: letters, digits, dots, hyphens and underscores.
 */
public record CallerName(String value) implements Comparable<CallerName> {

    /** Checks the name. */
    public CallerName {
        Names.check(value);
    }

    /** {@inheritDoc} */
    @Override
    public int compareTo(CallerName other) {
        return value.compareTo(other.value);
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return value;
    }
}
