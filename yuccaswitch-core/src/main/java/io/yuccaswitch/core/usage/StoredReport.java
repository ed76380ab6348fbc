package io.yuccaswitch.core.usage;

import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.value.Bytes;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * The report of a window as the platform keeps it. It is written before the first send and not changed after, so that
 * every send by whichever node says the same.
 *
 * @param window The number of the window.
 * @param holder The node that made it, or that sent it if it was sent.
 * @param fence The fencing number of that node.
 * @param sent Whether the cloud has taken it.
 * @param counts The requests by the names of their accounts.
 */
record StoredReport(long window, NodeName holder, long fence, boolean sent, Map<String, Long> counts) {

    /** What stands between the parts of the text. */
    private static final String SEPARATOR = " ";

    /** The number of parts of the text. */
    private static final int PARTS = 5;

    /** Orders the counts by account. */
    StoredReport {
        counts = new TreeMap<>(counts);
    }

    /**
     * Returns this report after it was sent.
     *
     * @param node The node that sent it.
     * @param number The fencing number of that node.
     * @return The report.
     */
    StoredReport withSent(NodeName node, long number) {
        return new StoredReport(window, node, number, true, counts);
    }

    /**
     * Writes the report.
     *
     * @return The text.
     */
    Bytes encode() {
        String listed = counts.entrySet().stream()
                .map(count -> count.getKey() + "=" + count.getValue())
                .collect(Collectors.joining(","));
        return Bytes.ofUtf8(String.join(
                SEPARATOR,
                Long.toString(window),
                holder.value(),
                Long.toString(fence),
                Boolean.toString(sent),
                listed));
    }

    /**
     * Reads a report.
     *
     * @param value The text.
     * @return The report, or empty if the text is none.
     */
    static Optional<StoredReport> decode(Bytes value) {
        String[] parts = value.toUtf8().split(SEPARATOR, -1);
        if (parts.length != PARTS) {
            return Optional.empty();
        }
        try {
            Map<String, Long> counts = new TreeMap<>();
            for (String count : parts[PARTS - 1].isEmpty() ? new String[0] : parts[PARTS - 1].split(",", -1)) {
                int mark = count.indexOf('=');
                counts.put(count.substring(0, mark), Long.parseLong(count.substring(mark + 1)));
            }
            return Optional.of(new StoredReport(
                    Long.parseLong(parts[0]),
                    new NodeName(parts[1]),
                    Long.parseLong(parts[2]),
                    Boolean.parseBoolean(parts[3]),
                    counts));
        } catch (IllegalArgumentException | IndexOutOfBoundsException _exception) {
            return Optional.empty();
        }
    }
}
