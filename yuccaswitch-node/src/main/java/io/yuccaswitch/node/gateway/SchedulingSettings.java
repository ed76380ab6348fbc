package io.yuccaswitch.node.gateway;

import io.yuccaswitch.core.account.ClientAccount;
import io.yuccaswitch.core.batch.SchedulingOptions;
import io.yuccaswitch.core.configuration.Setting;
import io.yuccaswitch.core.route.Route;
import java.util.OptionalInt;

/**
 * The settings of optional decisions under load.
 *
 * @param engineMemory Whether the memory of engines is counted beside their slots.
 * @param sharedSpeeds Whether nodes share how fast engines run.
 * @param stepOrder Whether the items of all jobs start by urgency and by the time left to their steps.
 * @param coordinatedLoads Whether engines load versions when their jobs have no waiting items.
 * @param admission Whether plain requests wait before a full pool and are admitted in the order of urgency and share.
 */
public record SchedulingSettings(
        @Setting(description = "Whether the memory of engines is counted beside their slots.", defaultValue = "false")
                boolean engineMemory,
        @Setting(description = "Whether nodes share how fast engines run.", defaultValue = "false")
                boolean sharedSpeeds,
        @Setting(
                        description = "Whether items of all jobs start by urgency and the time left to their steps.",
                        defaultValue = "false")
                boolean stepOrder,
        @Setting(
                        description = "Whether engines load versions when their jobs have no waiting items.",
                        defaultValue = "false")
                boolean coordinatedLoads,
        @Setting(
                        description = "Whether plain requests wait before a full pool and are admitted by urgency and"
                                + " share.",
                        defaultValue = "false")
                boolean admission) {

    /**
     * Returns the options of batch jobs.
     *
     * @return The options.
     */
    SchedulingOptions batch() {
        return new SchedulingOptions(engineMemory, sharedSpeeds, stepOrder, coordinatedLoads);
    }

    /**
     * Returns the priority that a plain request carries to endpoints.
     *
     * @param account The account of the request.
     * @param route The route.
     * @return The priority of the account, or of the route if the account has none. Empty if requests carry none.
     */
    OptionalInt plainPriority(ClientAccount account, Route route) {
        return admission ? OptionalInt.of(account.priority().orElse(route.priority())) : OptionalInt.empty();
    }
}
