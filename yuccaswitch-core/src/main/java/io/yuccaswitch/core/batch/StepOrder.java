package io.yuccaswitch.core.batch;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The order in which steps of one pool get slots: by urgency, by slack, by the items that they already have in
 * progress, and by submission. Every node derives the same order from the same reports. It addresses trainers whose
 * steps compete for too few slots: the step with the least time to spare starts first. While the engines' rate is
 * unknown to the node of one of the steps, all are ordered by due time alone: a slack without the length of the items
 * is not comparable with one that includes it. Where several steps can't meet their due times, the latest of them gives
 * way, so that one step is late instead of all of them.
 */
final class StepOrder {

    /**
     * The precision of slacks in milliseconds. The expected remaining time of an item changes with each reading of its
     * progress, every 250 ms, so smaller differences carry no information.
     */
    private static final long SLACK_PRECISION_MILLIS = 250;

    /**
     * The share of slots, as a divisor, that the latest step gets in any case, so that a step that is already lost
     * still ends.
     */
    private static final int LATE_SHARE = 4;

    /** The order of steps, apart from the latest one. */
    private static final Comparator<Step> BY_SLACK = Comparator.comparing((Step step) -> !step.hasDueTime())
            .thenComparingLong(step -> Math.floorDiv(step.slackMillis(), SLACK_PRECISION_MILLIS))
            .thenComparingInt(step -> step.hasDueTime() ? step.running() : 0)
            .thenComparingLong(Step::submittedAt)
            .thenComparing(Step::model);

    /** The steps. */
    private final List<Step> steps;

    /** The steps of other nodes, which are among the steps. */
    private final List<Step> elsewhere;

    /** Whether all steps with a due time are measured. */
    private final boolean measured;

    /** The step that gives way to the others of its priority, by priority. */
    private final Map<Integer, Step> latest = new HashMap<>();

    /**
     * Creates the order of steps of this node that compete for the same engines.
     *
     * @param steps The steps.
     */
    StepOrder(Collection<Step> steps) {
        this(steps, List.of());
    }

    /**
     * Creates the order of steps that compete for the same engines.
     *
     * @param own The steps of this node.
     * @param elsewhere The steps of other nodes.
     */
    StepOrder(Collection<Step> own, Collection<Step> elsewhere) {
        steps = Stream.concat(own.stream(), elsewhere.stream()).toList();
        this.elsewhere = List.copyOf(elsewhere);
        measured = this.steps.stream().filter(Step::hasDueTime).allMatch(Step::isMeasured);
        Map<Integer, Integer> overdue = new HashMap<>();
        for (Step step : this.steps) {
            if (step.waiting() > 0 && comparable(step).slackMillis() < 0 && step.priority() < Step.SPARE_PRIORITY) {
                overdue.merge(step.priority(), 1, Integer::sum);
                latest.merge(step.priority(), step, this::later);
            }
        }
        latest.keySet().removeIf(priority -> overdue.get(priority) < 2);
    }

    /**
     * Returns a step with a slack that is comparable with those of the other steps.
     *
     * @param step The step.
     * @return The step.
     */
    private Step comparable(Step step) {
        return measured ? step : step.withoutNeed();
    }

    /**
     * Returns the step that is later.
     *
     * @param one A step.
     * @param other Another step.
     * @return The one with less slack, or the one submitted last if both have the same within the precision of slacks.
     */
    private Step later(Step one, Step other) {
        return Comparator.comparingLong((Step step) ->
                                        Math.floorDiv(comparable(step).slackMillis(), SLACK_PRECISION_MILLIS))
                                .thenComparing(Step::submittedAt, Comparator.reverseOrder())
                                .thenComparing(Step::model)
                                .compare(other, one)
                        < 0
                ? other
                : one;
    }

    /**
     * Returns whether a step gives way to others because it is the latest of several that can't meet their due times.
     *
     * @param step The step.
     * @return {@code true} if it does.
     */
    boolean isLatest(Step step) {
        return step.equals(latest.get(step.priority()));
    }

    /**
     * Compares two steps.
     *
     * @param one A step.
     * @param other Another step.
     * @return A negative number if the first one gets slots before the other, a positive one if it gets them after it,
     *     or 0 if neither precedes the other.
     */
    int compare(Step one, Step other) {
        return Comparator.comparingInt(Step::priority)
                .thenComparing(this::isLatest)
                .thenComparing(this::comparable, BY_SLACK)
                .compare(one, other);
    }

    /**
     * Returns how many items of a step may start now.
     *
     * @param step The step, which is one of this order.
     * @param others The steps whose waiting items get slots before it if they precede it. Steps that have already got
     *     their slots are not among them.
     * @param free The number of free slots.
     * @param slots The number of all slots.
     * @param turn Whether the latest step is entitled to the next slot where its share is less than one slot.
     * @param usable Returns how many of the free slots items of another model can use.
     * @return The number, which may be negative.
     */
    long startable(
            Step step, Collection<Step> others, long free, long slots, boolean turn, ToLongFunction<String> usable) {
        Map<String, Long> waiting = others.stream()
                .filter(other -> compare(other, step) < 0)
                .collect(Collectors.groupingBy(Step::model, Collectors.summingLong(Step::waiting)));
        long before = waiting.entrySet().stream()
                .mapToLong(entry -> usable(entry.getKey(), entry.getValue(), step, usable))
                .sum();
        if (isLatest(step)) {
            return Math.max(free - before, Math.min(free, guaranteed(step, slots, turn)));
        }
        long reserved = steps.stream()
                .filter(this::isLatest)
                .filter(other -> other.priority() == step.priority())
                .mapToLong(other ->
                        usable(other.model(), Math.min(other.waiting(), guaranteed(other, slots, turn)), step, usable))
                .sum();
        return free - before - reserved;
    }

    /**
     * Returns how many of the free slots are left to items of a model.
     *
     * @param model The model.
     * @param count The number of the items.
     * @param step The step that leaves the slots.
     * @param usable Returns how many of the free slots items of another model can use.
     * @return The number.
     */
    private static long usable(String model, long count, Step step, ToLongFunction<String> usable) {
        return model.equals(step.model()) ? count : Math.min(count, usable.applyAsLong(model));
    }

    /**
     * Returns how many further slots the latest step gets in any case. Turns are counted from the starts of this node,
     * so a step of another node has none: the slot would stay free until the yield times out.
     *
     * @param step The step.
     * @param slots The number of all slots.
     * @param turn Whether it is entitled to the next slot where its share is less than one slot.
     * @return The number, not negative.
     */
    private long guaranteed(Step step, long slots, boolean turn) {
        long share = slots / LATE_SHARE;
        return share == 0 ? (turn && !elsewhere.contains(step) ? 1 : 0) : Math.max(0, share - step.running());
    }
}
