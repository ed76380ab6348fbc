package io.yuccaswitch.core.identity;

/**
 * The name of a node.
 *
 * @param value The name as text: letters, digits, dots, hyphens and underscores.
 */
public record NodeName(String value) implements Comparable<NodeName> {

    /** Checks the name. */
    public NodeName {
        Names.check(value);
    }

    /** {@inheritDoc} */
    @Override
    public int compareTo(NodeName other) {
        return value.compareTo(other.value);
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return value;
    }
}
