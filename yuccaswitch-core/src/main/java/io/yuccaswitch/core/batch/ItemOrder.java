package io.yuccaswitch.core.batch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The order in which the waiting items of a job start. A trainer that ends a job after a number of whole groups needs
 * as many groups and no more: the groups with the most progress count, and the items of the others start last. Among
 * groups of equal progress the order in the job decides, never the expected length, because dropping long outputs would
 * bias the training.
 */
final class ItemOrder {

    /** Interrupted items first, as their groups wait for lost progress, the longest first. */
    private static final Comparator<Entry> RESUMED_FIRST = Comparator.comparing(
                    (Entry entry) -> entry.progress() != Progress.INTERRUPTED)
            .thenComparing(Comparator.comparingLong(
                            (Entry entry) -> entry.progress() == Progress.INTERRUPTED ? entry.remaining() : 0)
                    .reversed());

    /** The items of groups that count. */
    private final List<Entry> counting;

    /** The identifiers of the waiting items of groups that count, in the order in which they start. */
    private final List<String> countingOrder;

    /** The identifiers of the waiting items of the other groups, in the order in which they start. */
    private final List<String> spareOrder;

    /** The number of waiting items by group. */
    private final Map<String, Integer> waiting = new LinkedHashMap<>();

    /**
     * Creates the order of the items of a job.
     *
     * @param entries All items of the job, in the order in which it states them.
     * @param wanted The number of whole groups after which the trainer ends the job, if it specified one.
     */
    ItemOrder(List<Entry> entries, OptionalInt wanted) {
        Map<String, List<Entry>> groups =
                entries.stream().collect(Collectors.groupingBy(Entry::group, LinkedHashMap::new, Collectors.toList()));
        groups.forEach((group, items) ->
                waiting.put(group, (int) items.stream().filter(Entry::isWaiting).count()));
        Set<String> names = countingGroups(groups, wanted);
        counting =
                entries.stream().filter(entry -> names.contains(entry.group())).toList();
        Map<String, Integer> positions = new HashMap<>();
        groups.keySet().forEach(group -> positions.put(group, positions.size()));
        countingOrder = ordered(counting, positions);
        spareOrder = ordered(
                entries.stream().filter(entry -> !names.contains(entry.group())).toList(), positions);
    }

    /**
     * Returns the groups that can be among those that the trainer waits for: the ones with the most started items that
     * can still become whole.
     *
     * @param groups The items by group.
     * @param wanted The number of whole groups after which the trainer ends the job, if it specified one.
     * @return Their names, which are those of all groups unless the trainer specified a number.
     */
    private static Set<String> countingGroups(Map<String, List<Entry>> groups, OptionalInt wanted) {
        if (wanted.isEmpty() || wanted.getAsInt() < 1) {
            return groups.keySet();
        }
        return groups.entrySet().stream()
                .filter(group -> group.getValue().stream().noneMatch(entry -> entry.progress() == Progress.ABANDONED))
                .sorted(Comparator.comparingLong((Map.Entry<String, List<Entry>> group) -> group.getValue().stream()
                                .filter(entry -> entry.progress() != Progress.WAITING)
                                .count())
                        .reversed())
                .limit(wanted.getAsInt())
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    /**
     * Returns the waiting items of groups that count.
     *
     * @return Their identifiers, in the order in which they start.
     */
    List<String> counting() {
        return countingOrder;
    }

    /**
     * Returns the waiting items of the other groups, which no trainer waits for.
     *
     * @return Their identifiers, in the order in which they start.
     */
    List<String> spare() {
        return spareOrder;
    }

    /**
     * Returns the longest remaining length of an item that counts and has no result.
     *
     * @return The number of events.
     */
    long longestRemaining() {
        return counting.stream()
                .filter(entry -> entry.isWaiting() || entry.progress() == Progress.RUNNING)
                .mapToLong(Entry::remaining)
                .max()
                .orElse(0);
    }

    /**
     * Orders waiting items: interrupted ones, then group by group, the group with the fewest waiting items first, and
     * the longest items of a group first.
     *
     * @param entries The items.
     * @param positions The positions of the groups in the job.
     * @return The identifiers of the waiting ones.
     */
    private List<String> ordered(List<Entry> entries, Map<String, Integer> positions) {
        return entries.stream()
                .filter(Entry::isWaiting)
                .sorted(RESUMED_FIRST
                        .thenComparingInt(entry -> waiting.get(entry.group()))
                        .thenComparingInt(entry -> positions.get(entry.group()))
                        .thenComparing(
                                Comparator.comparingLong(Entry::remaining).reversed()))
                .map(Entry::item)
                .toList();
    }

    /** How far an item has got. */
    enum Progress {
        /** It has not started, or all its events were discarded. */
        WAITING,
        /** It waits and resumes after its events. */
        INTERRUPTED,
        /** An engine runs it. */
        RUNNING,
        /** Its output is complete. */
        COMPLETE,
        /** It was abandoned, so its group never becomes whole. */
        ABANDONED
    }

    /**
     * An item.
     *
     * @param item The identifier.
     * @param group The group.
     * @param progress How far it has got.
     * @param remaining The expected number of its further events.
     */
    record Entry(String item, String group, Progress progress, long remaining) {

        /**
         * Returns whether the item waits for a slot.
         *
         * @return {@code true} if it does.
         */
        boolean isWaiting() {
            return progress == Progress.WAITING || progress == Progress.INTERRUPTED;
        }
    }
}
