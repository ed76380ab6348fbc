package io.yuccaswitch.core.usage;

import io.yuccaswitch.core.identity.NodeIdentity;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The counts of a node: its own and those that it keeps for other nodes. */
public final class UsageCounts {

    /** The counts by window, counting node and account. */
    private final TreeMap<Long, Map<NodeIdentity, Map<String, Long>>> windows = new TreeMap<>();

    /**
     * Merges counts into this node's state. The larger value of each count wins.
     *
     * @param row The counts of one node in one window.
     */
    public void merge(UsageRow row) {
        Map<String, Long> merged = windows.computeIfAbsent(row.window(), _window -> new HashMap<>())
                .computeIfAbsent(row.origin(), _origin -> new HashMap<>());
        row.counts().forEach((account, count) -> merged.merge(account, count, Math::max));
    }

    /**
     * Returns the counts of a window.
     *
     * @param window The number of the window.
     * @return The counts of each node that counted.
     */
    public List<UsageRow> rows(long window) {
        List<UsageRow> rows = new ArrayList<>();
        windows.getOrDefault(window, Map.of())
                .forEach((origin, counts) -> rows.add(new UsageRow(origin, window, counts)));
        return rows;
    }

    /**
     * Returns the sums of a window over all nodes.
     *
     * @param window The number of the window.
     * @return The number of requests by account name, sorted by that name.
     */
    public Map<String, Long> sums(long window) {
        Map<String, Long> sums = new TreeMap<>();
        rows(window).forEach(row -> row.counts().forEach((account, count) -> sums.merge(account, count, Long::sum)));
        return sums;
    }

    /**
     * Evicts the windows that are no longer reported.
     *
     * @param oldest The oldest window to retain.
     */
    public void evictBefore(long oldest) {
        windows.headMap(oldest).clear();
    }
}
