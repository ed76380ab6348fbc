package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import java.util.List;
import java.util.OptionalInt;

/** The order in which the waiting items of the jobs of this node start. */
interface DispatchOrder {

    /**
     * Creates the order that the options of a node ask for.
     *
     * @param state The tables of the batch system.
     * @param choice Chooses engines.
     * @return The order.
     */
    static DispatchOrder of(BatchState state, EngineChoice choice) {
        return state.options().stepOrder()
                ? new SlackDispatchOrder(state, choice)
                : new SubmissionDispatchOrder(state, choice);
    }

    /**
     * Returns the waiting items of all jobs of this node.
     *
     * @param tick The tick.
     * @return The shares in the order in which they get slots, with at least one share of each job.
     */
    List<Share> shares(Tick tick);

    /**
     * Returns how many items of a share may start now.
     *
     * @param tick The tick.
     * @param share The share.
     * @param engines The engines that may run its items.
     * @return The number, not negative.
     */
    long startable(Tick tick, Share share, List<RegisteredEndpoint> engines);

    /**
     * Records the start of an item.
     *
     * @param share The share that the item belongs to.
     */
    void recordStart(Share share);

    /**
     * Waiting items of a job that get slots together.
     *
     * @param job The job.
     * @param items The items, in the order in which they start.
     * @param priority The priority of the items at engines, if they have one.
     */
    record Share(RunningJob job, List<RunningItem> items, OptionalInt priority) {

        /**
         * Copies the items.
         *
         * @param job The job.
         * @param items The items, in the order in which they start.
         * @param priority The priority of the items at engines, if they have one.
         */
        public Share {
            items = List.copyOf(items);
        }
    }
}
