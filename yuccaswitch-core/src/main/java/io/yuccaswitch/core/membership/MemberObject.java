package io.yuccaswitch.core.membership;

import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.platform.ObjectKey;
import io.yuccaswitch.core.value.Bytes;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The object that each node writes to the platform once when it starts, so that nodes that start later can find it. It
 * consists of lines of keys and values. It is never used to determine whether the node is running.
 */
final class MemberObject {

    /** The kind of the objects. */
    static final String KIND = "member";

    /** The key of the incarnation. */
    private static final String INCARNATION = "incarnation";

    /** The key of the availability zone. */
    private static final String AVAILABILITY_ZONE = "availabilityZone";

    /** The key of the region. */
    private static final String REGION = "region";

    /** The key of the address for other nodes. */
    private static final String PEER_ADDRESS = "peerAddress";

    /** The key of the address for callers. */
    private static final String ENTRY_ADDRESS = "entryAddress";

    /** The key of the address for operators. */
    private static final String OPERATOR_ADDRESS = "operatorAddress";

    /** The key of the processor capacity. */
    private static final String CAPACITY = "capacity";

    /** This class has no instances. */
    private MemberObject() {}

    /**
     * Returns the key of a node's object.
     *
     * @param name The node's name.
     * @return The key.
     */
    static ObjectKey key(NodeName name) {
        return new ObjectKey(KIND, name.value());
    }

    /**
     * Encodes a member.
     *
     * @param member The member.
     * @return The value of its object.
     */
    static Bytes encode(Member member) {
        return Bytes.ofUtf8(String.join(
                "\n",
                INCARNATION + "=" + member.identity().incarnation(),
                AVAILABILITY_ZONE + "=" + member.availabilityZone(),
                REGION + "=" + member.region(),
                PEER_ADDRESS + "=" + member.peerAddress(),
                ENTRY_ADDRESS + "=" + member.entryAddress(),
                OPERATOR_ADDRESS + "=" + member.operatorAddress(),
                CAPACITY + "=" + member.capacity(),
                ""));
    }

    /**
     * Decodes a member.
     *
     * @param name The member's name.
     * @param value The value of its object.
     * @return The member, or empty if the value is malformed.
     */
    static Optional<Member> decode(String name, Bytes value) {
        Map<String, String> lines = new HashMap<>();
        value.toUtf8().lines().forEach(line -> {
            int equals = line.indexOf('=');
            if (equals > 0) {
                lines.put(line.substring(0, equals), line.substring(equals + 1));
            }
        });
        try {
            return Optional.of(new Member(
                    new NodeIdentity(new NodeName(name), Long.parseLong(lines.getOrDefault(INCARNATION, ""))),
                    new AvailabilityZone(lines.getOrDefault(AVAILABILITY_ZONE, "")),
                    lines.getOrDefault(REGION, ""),
                    lines.getOrDefault(PEER_ADDRESS, ""),
                    lines.getOrDefault(ENTRY_ADDRESS, ""),
                    lines.getOrDefault(OPERATOR_ADDRESS, ""),
                    MemberCondition.ALIVE,
                    Integer.parseInt(lines.getOrDefault(CAPACITY, "0"))));
        } catch (IllegalArgumentException _exception) {
            return Optional.empty();
        }
    }
}
