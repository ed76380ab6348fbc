package io.yuccaswitch.core.identity;

/**
 * The identity of one incarnation of a node. A process that restarts under the same name gets a higher incarnation.
 *
 * @param name The node's name.
 * @param incarnation The incarnation, a positive number that increases with each start of the process.
 */
public record NodeIdentity(NodeName name, long incarnation) implements Comparable<NodeIdentity> {

    /** Checks the incarnation. */
    public NodeIdentity {
        if (incarnation <= 0) {
            throw new IllegalArgumentException("Incarnation must be positive: " + incarnation);
        }
    }

    /** {@inheritDoc} */
    @Override
    public int compareTo(NodeIdentity other) {
        int byName = name.compareTo(other.name);
        return byName != 0 ? byName : Long.compare(incarnation, other.incarnation);
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return name + "@" + incarnation;
    }
}
