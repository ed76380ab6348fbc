package io.yuccaswitch.core.duty;

import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.value.Bytes;
import java.time.Duration;
import java.util.Optional;

/**
 * What the lease's object says.
 *
 * @param holder The node that holds the lease, or held it last.
 * @param fence The fencing number, which grows with each change of holder.
 * @param released Whether the holder gave the lease back.
 * @param renewal Counts the renewals, such that each one changes the object.
 * @param quietMillis For how long, in milliseconds, no order had been given when the lease was given back.
 */
record LeaseValue(NodeName holder, long fence, boolean released, long renewal, long quietMillis) {

    /** What stands between the parts of the text. */
    private static final String SEPARATOR = " ";

    /** The number of parts of the text. Earlier releases wrote the first four of them. */
    private static final int PARTS = 5;

    /**
     * Writes the value.
     *
     * @return The bytes.
     */
    Bytes encode() {
        return Bytes.ofUtf8(String.join(
                SEPARATOR,
                holder.value(),
                Long.toString(fence),
                Boolean.toString(released),
                Long.toString(renewal),
                Long.toString(quietMillis)));
    }

    /**
     * Reads a value.
     *
     * @param value The bytes.
     * @return The value, or empty if it can't be read.
     */
    static Optional<LeaseValue> decode(Bytes value) {
        String[] parts = value.toUtf8().split(SEPARATOR, -1);
        if (parts.length != PARTS && parts.length != PARTS - 1) {
            return Optional.empty();
        }
        try {
            return Optional.of(new LeaseValue(
                    new NodeName(parts[0]),
                    Long.parseLong(parts[1]),
                    Boolean.parseBoolean(parts[2]),
                    Long.parseLong(parts[3]),
                    parts.length == PARTS ? Long.parseLong(parts[4]) : 0));
        } catch (IllegalArgumentException _exception) {
            return Optional.empty();
        }
    }

    /**
     * Returns the value of the next renewal.
     *
     * @return The value.
     */
    LeaseValue renewed() {
        return new LeaseValue(holder, fence, false, renewal + 1, 0);
    }

    /**
     * Returns the value after the holder gave the lease back.
     *
     * @param quiet For how long no order has been given.
     * @return The value.
     */
    LeaseValue givenBack(Duration quiet) {
        return new LeaseValue(holder, fence, true, renewal + 1, quiet.toMillis());
    }

    /**
     * Returns the value with which another node takes the lease.
     *
     * @param node The node.
     * @return The value.
     */
    LeaseValue takenBy(NodeName node) {
        return new LeaseValue(node, fence + 1, false, 0, 0);
    }
}
