package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.time.MonotonicTime;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * A row of the table of groups that this node holds as their driver or backup, from their acceptance until their
 * trainer has acknowledged them.
 *
 * @param specification The group as it was submitted.
 * @param stage The stage of the group at this node.
 * @param run The number of the run, starting at one.
 * @param acceptedAt The time at which this node accepted the group.
 * @param slots The samples of the run.
 * @param finished The finished group until its keepers have confirmed it, or empty.
 * @param storedAt The other nodes that confirmed to hold the group.
 * @param keptAt The keepers that confirmed to keep the finished group.
 * @param missingAt The keepers that last reported that they do not keep the group.
 * @param missingSince The time since which at least one keeper has reported the group missing.
 */
record HeldGroup(
        GroupSpecification specification,
        Stage stage,
        int run,
        MonotonicTime acceptedAt,
        List<Slot> slots,
        Optional<FinishedGroup> finished,
        Set<NodeIdentity> storedAt,
        Set<NodeIdentity> keptAt,
        Set<NodeName> missingAt,
        MonotonicTime missingSince) {

    /** The stage of a group at a node. */
    enum Stage {
        /** The node holds a copy of the group while another node drives it. */
        BACKUP,
        /** The node took over the group and queries the keepers whether it is finished. */
        CHECKING,
        /** The node generates and scores the samples. */
        RUNNING,
        /** The samples are finished, but not yet confirmed by both keepers. */
        FINISHED,
        /** The keepers store the finished group. */
        KEPT
    }

    /** Copies the collections. */
    HeldGroup {
        slots = List.copyOf(slots);
        storedAt = Set.copyOf(storedAt);
        keptAt = Set.copyOf(keptAt);
        missingAt = Set.copyOf(missingAt);
    }

    /**
     * Creates the row of a newly stored group.
     *
     * @param specification The group.
     * @param stage The stage of the group at this node.
     * @param now The current time.
     * @return The row.
     */
    static HeldGroup of(GroupSpecification specification, Stage stage, MonotonicTime now) {
        return new HeldGroup(
                specification,
                stage,
                1,
                now,
                Collections.nCopies(specification.size(), Slot.waiting()),
                Optional.empty(),
                Set.of(),
                Set.of(),
                Set.of(),
                now);
    }

    /**
     * Returns the identity of the group.
     *
     * @return The identity.
     */
    GroupKey key() {
        return specification.key();
    }

    /**
     * Returns the number of samples that are not finished.
     *
     * @return The number of samples.
     */
    int unfinished() {
        return (int) slots.stream()
                .filter(slot -> slot.phase() != Slot.Phase.FINISHED)
                .count();
    }

    /**
     * Returns whether the generation of any sample has started in this run.
     *
     * @return {@code true} if any generation has started.
     */
    boolean hasStarted() {
        return slots.stream().anyMatch(slot -> slot.phase() != Slot.Phase.WAITING || slot.attempts() > 0);
    }

    /**
     * Returns this group with another stage.
     *
     * @param changed The stage.
     * @return The changed group.
     */
    HeldGroup withStage(Stage changed) {
        return new HeldGroup(
                specification, changed, run, acceptedAt, slots, finished, storedAt, keptAt, missingAt, missingSince);
    }

    /**
     * Returns this group with a changed sample.
     *
     * @param index The index of the sample.
     * @param slot The changed sample.
     * @return The changed group.
     */
    HeldGroup withSlot(int index, Slot slot) {
        List<Slot> changed = new ArrayList<>(slots);
        changed.set(index, slot);
        return new HeldGroup(
                specification, stage, run, acceptedAt, changed, finished, storedAt, keptAt, missingAt, missingSince);
    }

    /**
     * Returns this group with its samples finished.
     *
     * @param samples The samples in the order of their indices.
     * @return The changed group.
     */
    HeldGroup withFinished(List<Sample> samples) {
        FinishedGroup finishedGroup = new FinishedGroup(key(), run, samples);
        return new HeldGroup(
                specification,
                Stage.FINISHED,
                run,
                acceptedAt,
                List.of(),
                Optional.of(finishedGroup),
                storedAt,
                Set.of(),
                Set.of(),
                missingSince);
    }

    /**
     * Returns this group after its keepers confirmed it, without the finished samples.
     *
     * @return The changed group.
     */
    HeldGroup withKept() {
        return new HeldGroup(
                specification,
                Stage.KEPT,
                run,
                acceptedAt,
                List.of(),
                Optional.empty(),
                storedAt,
                keptAt,
                Set.of(),
                missingSince);
    }

    /**
     * Returns this group at the start of its next run.
     *
     * @return The changed group.
     */
    HeldGroup withNextRun() {
        return new HeldGroup(
                specification,
                Stage.RUNNING,
                run + 1,
                acceptedAt,
                Collections.nCopies(specification.size(), Slot.waiting()),
                Optional.empty(),
                storedAt,
                Set.of(),
                Set.of(),
                missingSince);
    }

    /**
     * Returns this group after another node confirmed to hold it.
     *
     * @param node The node.
     * @return The changed group.
     */
    HeldGroup withStoredAt(NodeIdentity node) {
        return new HeldGroup(
                specification,
                stage,
                run,
                acceptedAt,
                slots,
                finished,
                plus(storedAt, node),
                keptAt,
                missingAt,
                missingSince);
    }

    /**
     * Returns this group after a keeper confirmed to keep it.
     *
     * @param node The keeper.
     * @return The changed group.
     */
    HeldGroup withKeptAt(NodeIdentity node) {
        return new HeldGroup(
                specification,
                stage,
                run,
                acceptedAt,
                slots,
                finished,
                storedAt,
                plus(keptAt, node),
                missingAt,
                missingSince);
    }

    /**
     * Returns this group after a keeper reported whether it keeps it.
     *
     * @param node The keeper.
     * @param missing {@code true} if the keeper does not keep the group.
     * @param now The current time.
     * @return The changed group.
     */
    HeldGroup withMissing(NodeName node, boolean missing, MonotonicTime now) {
        Set<NodeName> changed = new HashSet<>(missingAt);
        if (missing) {
            changed.add(node);
        } else {
            changed.remove(node);
        }
        return new HeldGroup(
                specification,
                stage,
                run,
                acceptedAt,
                slots,
                finished,
                storedAt,
                keptAt,
                changed,
                missingAt.isEmpty() ? now : missingSince);
    }

    /**
     * Returns a set with one more element.
     *
     * @param nodes The set.
     * @param node The element to add.
     * @return The extended set.
     */
    private static Set<NodeIdentity> plus(Set<NodeIdentity> nodes, NodeIdentity node) {
        Set<NodeIdentity> changed = new HashSet<>(nodes);
        changed.add(node);
        return changed;
    }
}
