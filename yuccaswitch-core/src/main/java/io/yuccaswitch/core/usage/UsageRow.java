package io.yuccaswitch.core.usage;

import io.yuccaswitch.core.identity.NodeIdentity;
import java.util.Map;

/**
 * What one life of a node counted in one window. Counts only grow, so the larger of two readings is the newer one.
 *
 * @param origin The node that counted.
 * @param window The number of the window.
 * @param counts The requests that began to run, by the names of their accounts.
 */
public record UsageRow(NodeIdentity origin, long window, Map<String, Long> counts) {

    /** Copies the counts. */
    public UsageRow {
        counts = Map.copyOf(counts);
    }
}
