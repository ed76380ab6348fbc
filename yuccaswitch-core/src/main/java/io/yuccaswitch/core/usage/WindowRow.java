package io.yuccaswitch.core.usage;

import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.time.MonotonicTime;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * A window on its way to its report.
 *
 * @param window The number of the window.
 * @param stage What happens next or is waited for.
 * @param dueAt When it happens, or until when the answer is waited for.
 * @param awaited The nodes that have not said yet what they know.
 * @param report The report, once the platform keeps it.
 * @param version The version of the object that keeps the report, or of an older one under the same name.
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
     * Returns a window of which the nodes were asked.
     *
     * @param window The number of the window.
     * @param awaited The nodes.
     * @param until Until when their answers are waited for.
     * @return The row.
     */
    static WindowRow collecting(long window, Set<NodeName> awaited, MonotonicTime until) {
        return new WindowRow(window, Stage.COLLECTING, until, awaited, Optional.empty(), OptionalLong.empty());
    }

    /**
     * Returns a window whose report the platform keeps.
     *
     * @param report The report.
     * @param version The version of the object.
     * @param dueAt When it may be sent.
     * @return The row.
     */
    static WindowRow kept(StoredReport report, long version, MonotonicTime dueAt) {
        return new WindowRow(
                report.window(), Stage.KEPT, dueAt, Set.of(), Optional.of(report), OptionalLong.of(version));
    }

    /**
     * Returns this window with another stage.
     *
     * @param next The stage.
     * @param at When it is due.
     * @return The row.
     */
    WindowRow withStage(Stage next, MonotonicTime at) {
        return new WindowRow(window, next, at, awaited, report, version);
    }

    /**
     * Returns this window after a node's answer.
     *
     * @param node The node.
     * @return The row.
     */
    WindowRow without(NodeName node) {
        Set<NodeName> left = new HashSet<>(awaited);
        left.remove(node);
        return new WindowRow(window, stage, dueAt, left, report, version);
    }

    /**
     * Returns this window with the version of an older report that its own replaces.
     *
     * @param replaced The version.
     * @return The row.
     */
    WindowRow withReplaced(long replaced) {
        return new WindowRow(window, stage, dueAt, awaited, report, OptionalLong.of(replaced));
    }

    /** What happens to a window next. */
    enum Stage {
        /** The nodes are asked for what they know. */
        COLLECTING,
        /** The report is on its way to the platform. */
        FIXING,
        /** The platform keeps the report, which is to be sent. */
        KEPT,
        /** The report is on its way to the cloud. */
        SENDING
    }
}
