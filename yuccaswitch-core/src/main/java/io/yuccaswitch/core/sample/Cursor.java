package io.yuccaswitch.core.sample;

import com.google.common.collect.ImmutableSortedMap;
import io.yuccaswitch.core.identity.TrainerName;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.roaringbitmap.RoaringBitmap;

/**
 * The set of groups that a trainer has received. Cursors of one trainer form a join semilattice: the join of two
 * cursors contains the groups of both, so updates may arrive late, repeatedly and in any order.
 *
 * @param trainer The trainer.
 * @param floorStep The step below which all groups are considered delivered.
 * @param delivered The numbers of the delivered groups by their steps, none below the floor and none empty. The bitmaps
 *     must not be changed.
 */
public record Cursor(TrainerName trainer, long floorStep, ImmutableSortedMap<Long, RoaringBitmap> delivered) {

    /** The maximum number of steps that a cursor tracks individually. Older steps are closed. */
    public static final long MAXIMUM_STEPS = 4096;

    /**
     * Creates the cursor of a trainer that has not received any groups.
     *
     * @param trainer The trainer.
     * @return The cursor.
     */
    public static Cursor start(TrainerName trainer) {
        return new Cursor(trainer, 0, ImmutableSortedMap.of());
    }

    /**
     * Creates a cursor from steps, and closes those older than {@link #MAXIMUM_STEPS}.
     *
     * @param trainer The trainer.
     * @param floorStep The step below which all groups are considered delivered.
     * @param steps The numbers of the delivered groups by their steps.
     * @return The cursor.
     */
    static Cursor of(TrainerName trainer, long floorStep, NavigableMap<Long, RoaringBitmap> steps) {
        long floor = steps.isEmpty() ? floorStep : Math.max(floorStep, steps.lastKey() - MAXIMUM_STEPS + 1);
        return new Cursor(trainer, floor, ImmutableSortedMap.copyOfSorted(steps.tailMap(floor, true)));
    }

    /**
     * Returns whether a group was delivered.
     *
     * @param key The identity of the group, which must be one of this cursor's trainer.
     * @return {@code true} if the group was delivered or its step is closed.
     */
    public boolean contains(GroupKey key) {
        if (key.step() < floorStep) {
            return true;
        }
        RoaringBitmap groups = delivered.get(key.step());
        return groups != null && groups.contains(key.group());
    }

    /**
     * Returns this cursor extended by further delivered groups.
     *
     * @param keys The identities of the groups.
     * @return The cursor that contains the groups as well.
     */
    public Cursor with(Collection<GroupKey> keys) {
        NavigableMap<Long, RoaringBitmap> steps = new TreeMap<>(delivered);
        for (GroupKey key : keys) {
            steps.merge(key.step(), RoaringBitmap.bitmapOf(key.group()), (own, added) -> RoaringBitmap.or(own, added));
        }
        return of(trainer, floorStep, steps);
    }

    /**
     * Returns the join of this cursor and another one.
     *
     * @param other The other cursor, of the same trainer.
     * @return The cursor that contains the groups of both.
     */
    public Cursor join(Cursor other) {
        if (covers(other)) {
            return this;
        }
        NavigableMap<Long, RoaringBitmap> steps = new TreeMap<>(delivered);
        other.delivered.forEach(
                (step, groups) -> steps.merge(step, groups, (own, added) -> RoaringBitmap.or(own, added)));
        return of(trainer, Math.max(floorStep, other.floorStep), steps);
    }

    /**
     * Returns whether this cursor contains all groups of another one.
     *
     * @param other The other cursor, of the same trainer.
     * @return {@code true} if the other cursor contains no group that this one lacks.
     */
    public boolean covers(Cursor other) {
        return other.floorStep <= floorStep
                && other.delivered.tailMap(floorStep, true).entrySet().stream().allMatch(this::coversStep);
    }

    /**
     * Returns the highest step with a delivered group.
     *
     * @return The highest step, or the floor if no group was delivered.
     */
    public long highestStep() {
        return delivered.isEmpty() ? floorStep : delivered.lastKey();
    }

    /**
     * Returns the individually tracked groups of this cursor that another one lacks.
     *
     * @param other The other cursor, of the same trainer.
     * @return The identities of the groups.
     */
    public List<GroupKey> without(Cursor other) {
        return delivered.entrySet().stream()
                .flatMap(entry ->
                        entry.getValue().stream().mapToObj(group -> new GroupKey(trainer, entry.getKey(), group)))
                .filter(key -> !other.contains(key))
                .toList();
    }

    /**
     * Returns whether this cursor contains the given groups of a step.
     *
     * @param entry The step with its groups.
     * @return {@code true} if this cursor contains all of them.
     */
    private boolean coversStep(Map.Entry<Long, RoaringBitmap> entry) {
        RoaringBitmap groups = delivered.get(entry.getKey());
        return groups != null && groups.contains(entry.getValue());
    }
}
