package io.yuccaswitch.core.duty;

import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.value.Bytes;
import java.time.Duration;
import java.util.Optional;

/**
 * The value of the lease object.
 *
 * @param holder The current or last holder of the lease.
 * @param fence The fencing number, which increases with each change of holder.
 * @param released Whether the holder has released the lease.
 * @param renewal The number of renewals, which makes each one change the object.
 * @param idleMillis For how long, in milliseconds, the holder had not acted when it released the lease.
 */
record LeaseValue(NodeName holder, long fence, boolean released, long renewal, long idleMillis) {

    /** The separator of the fields in the encoded text. */
    private static final String SEPARATOR = " ";

    /** The number of fields in the encoded text. Earlier releases wrote only the first four. */
    private static final int FIELD_COUNT = 5;

    /**
     * Encodes the value.
     *
     * @return The encoded value.
     */
    Bytes encode() {
        return Bytes.ofUtf8(String.join(
                SEPARATOR,
                holder.value(),
                Long.toString(fence),
                Boolean.toString(released),
                Long.toString(renewal),
                Long.toString(idleMillis)));
    }

    /**
     * Decodes a value.
     *
     * @param value The encoded value.
     * @return The value, or empty if it is malformed.
     */
    static Optional<LeaseValue> decode(Bytes value) {
        String[] fields = value.toUtf8().split(SEPARATOR, -1);
        if (fields.length != FIELD_COUNT && fields.length != FIELD_COUNT - 1) {
            return Optional.empty();
        }
        try {
            return Optional.of(new LeaseValue(
                    new NodeName(fields[0]),
                    Long.parseLong(fields[1]),
                    Boolean.parseBoolean(fields[2]),
                    Long.parseLong(fields[3]),
                    fields.length == FIELD_COUNT ? Long.parseLong(fields[4]) : 0));
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
     * Returns the value after the holder released the lease.
     *
     * @param idle For how long the holder has not acted.
     * @return The value.
     */
    LeaseValue afterRelease(Duration idle) {
        return new LeaseValue(holder, fence, true, renewal + 1, idle.toMillis());
    }

    /**
     * Returns the value with which a node acquires the lease.
     *
     * @param node The new holder.
     * @return The value.
     */
    LeaseValue acquiredBy(NodeName node) {
        return new LeaseValue(node, fence + 1, false, 0, 0);
    }
}
