package io.yuccaswitch.core.lease;

import com.google.common.base.Splitter;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.value.Bytes;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * The record of a lease that the platform stores.
 *
 * @param holder The holder, or empty if the lease was released.
 * @param base The base of the holder's fencing number, or zero if it is the version of this write.
 * @param writeNumber The sequence number of the write among all writes of its writer, by which a writer identifies its
 *     own write if it got no answer.
 * @param duration The time for which the lease is valid, starting before the write.
 * @param successors The nodes that act in order of succession while the platform is unreachable and the holder is
 *     absent.
 */
record LeaseRecord(
        Optional<NodeIdentity> holder, long base, long writeNumber, Duration duration, List<NodeIdentity> successors) {

    /** The version of the text format. */
    private static final String FORMAT_VERSION = "1";

    /** The text of an absent holder or an empty list of successors. */
    private static final String ABSENT = "-";

    /** The number of fields of the text. */
    private static final int FIELD_COUNT = 6;

    /** Copies the list. */
    LeaseRecord {
        successors = List.copyOf(successors);
    }

    /**
     * Returns whether a node is the holder.
     *
     * @param node The node and its incarnation.
     * @return {@code true} if the node is the holder in this incarnation.
     */
    boolean isHeldBy(NodeIdentity node) {
        return holder.filter(node::equals).isPresent();
    }

    /**
     * Returns the base of the holder's fencing number.
     *
     * @param version The platform's version of this record.
     * @return The base.
     */
    long baseAt(long version) {
        return base == 0 ? version : base;
    }

    /**
     * Returns the node that owns a slot. The holder and its successors own the slots in rotation.
     *
     * @param slot The slot.
     * @return The node, or empty if the lease was released.
     */
    Optional<NodeIdentity> ownerOf(int slot) {
        int turn = slot % (successors.size() + 1);
        return turn == 0 || holder.isEmpty() ? holder : Optional.of(successors.get(turn - 1));
    }

    /**
     * Returns the nodes that own slots.
     *
     * @return The holder and its successors.
     */
    List<NodeIdentity> participants() {
        List<NodeIdentity> participants = new ArrayList<>();
        holder.ifPresent(participants::add);
        participants.addAll(successors);
        return participants;
    }

    /**
     * Encodes this record as a line of text.
     *
     * @return The value for the platform.
     */
    Bytes encode() {
        String successorsText = successors.stream().map(NodeIdentity::toString).collect(Collectors.joining(","));
        return Bytes.ofUtf8(String.join(
                " ",
                FORMAT_VERSION,
                holder.map(NodeIdentity::toString).orElse(ABSENT),
                Long.toString(base),
                Long.toString(writeNumber),
                Long.toString(duration.toMillis()),
                successorsText.isEmpty() ? ABSENT : successorsText));
    }

    /**
     * Decodes a record.
     *
     * @param value The value from the platform.
     * @return The record, or empty if the value is not a valid record.
     */
    static Optional<LeaseRecord> decode(Bytes value) {
        List<String> fields = Splitter.on(' ').splitToList(value.toUtf8());
        if (fields.size() != FIELD_COUNT || !fields.get(0).equals(FORMAT_VERSION)) {
            return Optional.empty();
        }
        try {
            List<NodeIdentity> successors = new ArrayList<>();
            if (!fields.get(5).equals(ABSENT)) {
                Splitter.on(',').split(fields.get(5)).forEach(text -> successors.add(identity(text)));
            }
            String holder = fields.get(1);
            return Optional.of(new LeaseRecord(
                    holder.equals(ABSENT) ? Optional.empty() : Optional.of(identity(holder)),
                    Long.parseLong(fields.get(2)),
                    Long.parseLong(fields.get(3)),
                    Duration.ofMillis(Long.parseLong(fields.get(4))),
                    successors));
        } catch (IllegalArgumentException _exception) {
            return Optional.empty();
        }
    }

    /**
     * Decodes the name and incarnation of a node.
     *
     * @param text The text.
     * @return The node and its incarnation.
     * @throws IllegalArgumentException If the text is not a valid identity.
     */
    private static NodeIdentity identity(String text) {
        int separator = text.lastIndexOf('@');
        if (separator < 0) {
            throw new IllegalArgumentException("Malformed node identity, expected name@incarnation: " + text);
        }
        return new NodeIdentity(
                new NodeName(text.substring(0, separator)), Long.parseLong(text.substring(separator + 1)));
    }
}
