package io.yuccaswitch.core.usage;

import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.time.MonotonicTime;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * A usage window whose report has not been delivered yet.
 *
 * @param window The number of the window.
 * @param stage The current stage.
 * @param dueAt When the next step is due, or when the wait for an answer times out.
 * @param awaited The nodes that have not sent their counts yet.
 * @param report The report, once the platform stores it.
 * @param version The version of the object that stores the report, or of an older report under the same name.
 */
record WindowRow(
        long window,
        Stage stage,
        MonotonicTime dueAt,
        Set<NodeName> awaited,
        Optional<StoredReport> report,
        OptionalLong version) {

    /** Copies the names. */
    WindowRow {
        awaited = Set.copyOf(awaited);
    }

    /**
     * Creates a window whose counts were requested from the nodes.
     *
     * @param window The number of the window.
     * @param awaited The nodes.
     * @param timeoutAt When the wait for their answers times out.
     * @return The row.
     */
    static WindowRow collecting(long window, Set<NodeName> awaited, MonotonicTime timeoutAt) {
        return new WindowRow(window, Stage.COLLECTING, timeoutAt, awaited, Optional.empty(), OptionalLong.empty());
    }

    /**
     * Creates a window whose report the platform stores.
     *
     * @param report The report.
     * @param version The version of the object.
     * @param dueAt When the report may be sent.
     * @return The row.
     */
    static WindowRow stored(StoredReport report, long version, MonotonicTime dueAt) {
        return new WindowRow(
                report.window(), Stage.STORED, dueAt, Set.of(), Optional.of(report), OptionalLong.of(version));
    }

    /**
     * Returns this window with another stage.
     *
     * @param next The stage.
     * @param at When the next step is due.
     * @return The row.
     */
    WindowRow withStage(Stage next, MonotonicTime at) {
        return new WindowRow(window, next, at, awaited, report, version);
    }

    /**
     * Returns this window without a node that has answered.
     *
     * @param node The node.
     * @return The row.
     */
    WindowRow withAnswerOf(NodeName node) {
        Set<NodeName> remaining = new HashSet<>(awaited);
        remaining.remove(node);
        return new WindowRow(window, stage, dueAt, remaining, report, version);
    }

    /**
     * Returns this window with the version of the older report that it replaces.
     *
     * @param replaced The version.
     * @return The row.
     */
    WindowRow withReplacedVersion(long replaced) {
        return new WindowRow(window, stage, dueAt, awaited, report, OptionalLong.of(replaced));
    }

    /** The stages of a window. */
    enum Stage {
        /** The counts were requested from the nodes. */
        COLLECTING,
        /** The report is being written to the platform. */
        STORING,
        /** The platform stores the report, which still has to be sent. */
        STORED,
        /** The report is being sent to the cloud. */
        SENDING
    }
}
