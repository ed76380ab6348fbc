package io.yuccaswitch.core.usage;

import io.yuccaswitch.core.identity.NodeIdentity;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The counts that a node knows, its own and those that it keeps for others. */
public final class UsageCounts {

    /** The counts by account, by the node that counted, by window. */
    private final TreeMap<Long, Map<NodeIdentity, Map<String, Long>>> windows = new TreeMap<>();

    /**
     * Takes counts, of which the larger ones hold.
     *
     * @param row The counts of one node in one window.
     */
    public void take(UsageRow row) {
        Map<String, Long> known = windows.computeIfAbsent(row.window(), _window -> new HashMap<>())
                .computeIfAbsent(row.origin(), _origin -> new HashMap<>());
        row.counts().forEach((account, count) -> known.merge(account, count, Math::max));
    }

    /**
     * Returns what is known of a window.
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
     * @return The requests by account, in the order of the accounts.
     */
    public Map<String, Long> sums(long window) {
        Map<String, Long> sums = new TreeMap<>();
        rows(window).forEach(row -> row.counts().forEach((account, count) -> sums.merge(account, count, Long::sum)));
        return sums;
    }

    /**
     * Forgets windows that no report is made of any more.
     *
     * @param oldest The oldest window to keep.
     */
    public void forgetBefore(long oldest) {
        windows.headMap(oldest).clear();
    }
}
