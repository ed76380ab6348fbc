package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.time.MonotonicTime;
import java.util.HashSet;
import java.util.Set;

/**
 * A row of the table of finished groups that this node keeps until their trainers have acknowledged them.
 *
 * @param group The finished group.
 * @param since The time since which this node keeps it.
 * @param keptAt The other nodes that confirmed to keep the group too.
 */
record KeptGroup(FinishedGroup group, MonotonicTime since, Set<NodeIdentity> keptAt) {

    /** Copies the set. */
    KeptGroup {
        keptAt = Set.copyOf(keptAt);
    }

    /**
     * Returns this row after another node confirmed to keep the group.
     *
     * @param node The other node.
     * @return The changed row.
     */
    KeptGroup withKeptAt(NodeIdentity node) {
        Set<NodeIdentity> nodes = new HashSet<>(keptAt);
        nodes.add(node);
        return new KeptGroup(group, since, nodes);
    }
}
