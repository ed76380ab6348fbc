package io.yuccaswitch.core.usage;

import io.yuccaswitch.core.peer.PeerMessage;
import java.util.List;

/** What nodes tell each other about usage. */
public sealed interface UsageMessage extends PeerMessage {

    /**
     * Hands counts to nodes that keep them beside the one that counted.
     *
     * @param rows The counts that have grown.
     */
    record Grown(List<UsageRow> rows) implements UsageMessage {

        /**
         * Copies the rows.
         *
         * @param rows The counts that have grown.
         */
        public Grown {
            rows = List.copyOf(rows);
        }
    }

    /**
     * Asks for all that a node knows of a window.
     *
     * @param window The number of the window.
     */
    record Ask(long window) implements UsageMessage {}

    /**
     * Says all that a node knows of a window.
     *
     * @param window The number of the window.
     * @param rows What it knows, its own counts among them.
     */
    record Known(long window, List<UsageRow> rows) implements UsageMessage {

        /**
         * Copies the rows.
         *
         * @param window The number of the window.
         * @param rows What it knows.
         */
        public Known {
            rows = List.copyOf(rows);
        }
    }
}
