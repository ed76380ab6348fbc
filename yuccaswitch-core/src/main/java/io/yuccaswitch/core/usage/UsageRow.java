package io.yuccaswitch.core.usage;

import io.yuccaswitch.core.identity.NodeIdentity;
import java.util.Map;

/**
 * The counts of one incarnation of a node in one window. Counts only increase, so the larger of two values is the newer
 * one.
 *
 * @param origin The node that counted.
 * @param window The number of the window.
 * @param counts The number of requests that began to run, by account name.
 */
public record UsageRow(NodeIdentity origin, long window, Map<String, Long> counts) {

    /** Copies the counts. */
    public UsageRow {
        counts = Map.copyOf(counts);
    }
}
