package io.yuccaswitch.core.usage;

import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.value.Bytes;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * The report of a window as the platform stores it. It is written before the report is first sent, and its counts don't
 * change afterwards, so that every node sends the same counts.
 *
 * @param window The number of the window.
 * @param holder The node that created the report, or that sent it if it was sent.
 * @param fence The fencing number of that node.
 * @param sent Whether the cloud has accepted the report.
 * @param counts The number of requests by account name.
 */
record StoredReport(long window, NodeName holder, long fence, boolean sent, Map<String, Long> counts) {

    /** The separator of the fields in the encoded text. */
    private static final String SEPARATOR = " ";

    /** The number of fields in the encoded text. */
    private static final int FIELD_COUNT = 5;

    /** Sorts the counts by account name. */
    StoredReport {
        counts = new TreeMap<>(counts);
    }

    /**
     * Returns this report, marked as sent.
     *
     * @param node The node that sent it.
     * @param number The fencing number of that node.
     * @return The report.
     */
    StoredReport withSent(NodeName node, long number) {
        return new StoredReport(window, node, number, true, counts);
    }

    /**
     * Encodes the report.
     *
     * @return The encoded report.
     */
    Bytes encode() {
        String joined = counts.entrySet().stream()
                .map(count -> count.getKey() + "=" + count.getValue())
                .collect(Collectors.joining(","));
        return Bytes.ofUtf8(String.join(
                SEPARATOR,
                Long.toString(window),
                holder.value(),
                Long.toString(fence),
                Boolean.toString(sent),
                joined));
    }

    /**
     * Decodes a report.
     *
     * @param value The encoded report.
     * @return The report, or empty if it is malformed.
     */
    static Optional<StoredReport> decode(Bytes value) {
        String[] fields = value.toUtf8().split(SEPARATOR, -1);
        if (fields.length != FIELD_COUNT) {
            return Optional.empty();
        }
        try {
            Map<String, Long> counts = new TreeMap<>();
            for (String count :
                    fields[FIELD_COUNT - 1].isEmpty() ? new String[0] : fields[FIELD_COUNT - 1].split(",", -1)) {
                int separator = count.indexOf('=');
                counts.put(count.substring(0, separator), Long.parseLong(count.substring(separator + 1)));
            }
            return Optional.of(new StoredReport(
                    Long.parseLong(fields[0]),
                    new NodeName(fields[1]),
                    Long.parseLong(fields[2]),
                    Boolean.parseBoolean(fields[3]),
                    counts));
        } catch (IllegalArgumentException | IndexOutOfBoundsException _exception) {
            return Optional.empty();
        }
    }
}
