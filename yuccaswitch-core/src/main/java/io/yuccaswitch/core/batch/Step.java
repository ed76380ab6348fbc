package io.yuccaswitch.core.batch;

/**
 * The items of a job that wait for slots, as far as the order of steps depends on them.
 *
 * @param model The model.
 * @param priority The priority of the items at engines, where a lower number is more urgent.
 * @param slackMillis The time until the results are due less the time that the items still need, in milliseconds, or
 *     {@link #NO_DUE_TIME}.
 * @param needMillis The time that the items still need, in milliseconds, or 0 if the rate of engines is unknown.
 * @param submittedAt When the job was submitted, in milliseconds since the epoch.
 * @param waiting The number of items that wait.
 * @param running The number of the job's items in progress.
 */
record Step(String model, int priority, long slackMillis, long needMillis, long submittedAt, int waiting, int running) {

    /** The slack of a step without a due time. */
    static final long NO_DUE_TIME = Long.MAX_VALUE;

    /** The priority of items that no trainer waits for, which is the lowest that engines accept. */
    static final int SPARE_PRIORITY = 9;

    /** The priority of the items of a route with the highest priority. */
    private static final int HIGHEST_PRIORITY = 4;

    /** The lowest priority of items that a trainer waits for. */
    private static final int LOWEST_PRIORITY = 8;

    /**
     * Returns the priority of the items of a route.
     *
     * @param routePriority The priority of the route, where 0 is the highest.
     * @return The priority at engines, from 4 to 8.
     */
    static int priorityOf(int routePriority) {
        return Math.min(LOWEST_PRIORITY, HIGHEST_PRIORITY + Math.max(0, routePriority));
    }

    /**
     * Returns whether the results are due at a certain time.
     *
     * @return {@code true} if they are.
     */
    boolean hasDueTime() {
        return slackMillis != NO_DUE_TIME;
    }

    /**
     * Returns whether the slack takes the length of the items into account.
     *
     * @return {@code true} if the rate of engines is known.
     */
    boolean isMeasured() {
        return needMillis > 0;
    }

    /**
     * Returns this step with the time left as its slack, as if the rate of engines were unknown.
     *
     * @return The step.
     */
    Step withoutNeed() {
        long left = hasDueTime() ? slackMillis + needMillis : NO_DUE_TIME;
        return new Step(model, priority, left, 0, submittedAt, waiting, running);
    }

    /**
     * Returns this step with another number of waiting items.
     *
     * @param count The number.
     * @return The step.
     */
    Step withWaiting(int count) {
        return new Step(model, priority, slackMillis, needMillis, submittedAt, count, running);
    }
}
