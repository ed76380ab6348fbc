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
 * What the platform keeps about a lease.
 *
 * @param holder The holder, or empty if the lease was released.
 * @param base The base of the holder's fencing number, or zero if it is the version of this very write.
 * @param attempt The number of the write among all writes of its writer, by which a writer recognizes its own write
 *     after the answer was lost.
 * @param duration The time for which the lease is valid, counted from before the write.
 * @param successors The nodes that act in turn while the platform is silent and the holder is gone.
 */
record LeaseRecord(
        Optional<NodeIdentity> holder, long base, long attempt, Duration duration, List<NodeIdentity> successors) {

    /** The version of the text format. */
    private static final String FORMAT = "1";

    /** What stands in the text for nothing. */
    private static final String NOTHING = "-";

    /** The number of fields of the text. */
    private static final int FIELDS = 6;

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
     * Returns the node that a slot belongs to: the holder and its successors take turns.
     *
     * @param slot The slot.
     * @return The node, or empty if the lease was released.
     */
    Optional<NodeIdentity> ownerOf(int slot) {
        int turn = slot % (successors.size() + 1);
        return turn == 0 || holder.isEmpty() ? holder : Optional.of(successors.get(turn - 1));
    }

    /**
     * Returns the nodes that slots belong to.
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
        String listed = successors.stream().map(NodeIdentity::toString).collect(Collectors.joining(","));
        return Bytes.ofUtf8(String.join(
                " ",
                FORMAT,
                holder.map(NodeIdentity::toString).orElse(NOTHING),
                Long.toString(base),
                Long.toString(attempt),
                Long.toString(duration.toMillis()),
                listed.isEmpty() ? NOTHING : listed));
    }

    /**
     * Decodes a record.
     *
     * @param value The value from the platform.
     * @return The record, or empty if the value is none.
     */
    static Optional<LeaseRecord> decode(Bytes value) {
        List<String> fields = Splitter.on(' ').splitToList(value.toUtf8());
        if (fields.size() != FIELDS || !fields.get(0).equals(FORMAT)) {
            return Optional.empty();
        }
        try {
            List<NodeIdentity> successors = new ArrayList<>();
            if (!fields.get(5).equals(NOTHING)) {
                Splitter.on(',').split(fields.get(5)).forEach(text -> successors.add(identity(text)));
            }
            String holder = fields.get(1);
            return Optional.of(new LeaseRecord(
                    holder.equals(NOTHING) ? Optional.empty() : Optional.of(identity(holder)),
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
     * @throws IllegalArgumentException If the text is none.
     */
    private static NodeIdentity identity(String text) {
        int at = text.lastIndexOf('@');
        if (at < 0) {
            throw new IllegalArgumentException("Not a node's identity: " + text);
        }
        return new NodeIdentity(new NodeName(text.substring(0, at)), Long.parseLong(text.substring(at + 1)));
    }
}
