package io.yuccaswitch.core.usage;

import io.yuccaswitch.core.peer.PeerMessage;
import java.util.List;

/** Messages between nodes about usage. */
public sealed interface UsageMessage extends PeerMessage {

    /**
     * Replicates counts to the keepers of the node that counted.
     *
     * @param rows The counts that have increased.
     */
    record ReplicateCounts(List<UsageRow> rows) implements UsageMessage {

        /**
         * Copies the rows.
         *
         * @param rows The counts that have increased.
         */
        public ReplicateCounts {
            rows = List.copyOf(rows);
        }
    }

    /**
     * Requests all counts that a node has for a window.
     *
     * @param window The number of the window.
     */
    record RequestCounts(long window) implements UsageMessage {}

    /**
     * Returns all counts that a node has for a window.
     *
     * @param window The number of the window.
     * @param rows The counts, including the node's own.
     */
    record Counts(long window, List<UsageRow> rows) implements UsageMessage {

        /**
         * Copies the rows.
         *
         * @param window The number of the window.
         * @param rows The counts.
         */
        public Counts {
            rows = List.copyOf(rows);
        }
    }
}
