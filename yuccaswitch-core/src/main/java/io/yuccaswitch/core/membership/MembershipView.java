package io.yuccaswitch.core.membership;

import io.yuccaswitch.core.identity.NodeName;
import java.util.Collection;
import java.util.Optional;

/** A read-only view of the table of members for other systems. */
public interface MembershipView {

    /**
     * Returns this node's own row.
     *
     * @return This node's own row.
     */
    Member self();

    /**
     * Returns all members that may be given new work, this node included, ordered by name.
     *
     * @return The members that may be given new work.
     */
    Collection<Member> working();

    /**
     * Finds a member in its latest recorded incarnation, regardless of its condition.
     *
     * @param name The member's name.
     * @return The member, or empty if the table does not contain it.
     */
    Optional<Member> find(NodeName name);
}
