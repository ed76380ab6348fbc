package io.yuccaswitch.core.batch;

/**
 * The optional decisions about batch jobs under load. Each is off unless the settings of the node ask for it.
 *
 * @param engineMemory Whether the tokens that items occupy in the memory of engines are counted beside slots.
 * @param sharedSpeeds Whether nodes share how fast engines run, and avoid those that are expected to stay slow.
 * @param stepOrder Whether items of all jobs start in the order of urgency and of the time left to their steps.
 * @param coordinatedLoads Whether engines load versions when their jobs have no waiting items, and announce it.
 */
public record SchedulingOptions(
        boolean engineMemory, boolean sharedSpeeds, boolean stepOrder, boolean coordinatedLoads) {

    /** No optional decision. */
    public static final SchedulingOptions NONE = new SchedulingOptions(false, false, false, false);

    /** All optional decisions. */
    public static final SchedulingOptions ALL = new SchedulingOptions(true, true, true, true);
}
