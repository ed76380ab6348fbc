package io.yuccaswitch.core.modelversion;

import java.time.Duration;
import java.util.Optional;

/**
 * Decides when an engine that lags is ordered to load a version, and how many engines of a model load concurrently. An
 * engine that loads refuses the items of its model, and a step submits its items just after its trainer has named a
 * version: on a day with four trainers, all 789 refused items met an engine that was loading. The step that a version
 * triggers also accepts the previous version, so its engines can load after its items have started. The next step
 * accepts only this version and follows about 4 s later.
 */
final class LoadTiming {

    /**
     * The delay before engines that lag by one version only are ordered to load a new version. A trainer requests its
     * next step as soon as it has named a version, and that step also accepts the previous version. An engine that is
     * loading refuses the first items of the step, which are the longest (40 to 60 starts a step met such an engine and
     * lost up to 0.6 s).
     */
    static final Duration NEW_VERSION_DELAY = Duration.ofMillis(300);

    /**
     * The maximum delay while items wait. A model's engines load in two halves of about 1.1 s each, so the second half
     * begins at the latest 2 s after the version was named and leaves 0.9 s for engines of other models that load at
     * the same time.
     */
    static final Duration MAXIMUM_LOAD_DELAY = Duration.ofMillis(900);

    /** The demand for models, or empty if loads are not coordinated with it. */
    private final Optional<ModelDemand> demand;

    /**
     * Creates a timing.
     *
     * @param demand The demand for models, or empty if loads are not coordinated with it.
     */
    LoadTiming(Optional<ModelDemand> demand) {
        this.demand = demand;
    }

    /**
     * Returns whether an engine that lags by one version is ordered to load it now. Without a valid report of waiting
     * items, the delay is that of a node that knows of no demand.
     *
     * @param model The model.
     * @param age The time since the version was named.
     * @return {@code true} if it is.
     */
    boolean isDue(String model, Duration age) {
        if (age.compareTo(NEW_VERSION_DELAY) < 0) {
            return false;
        }
        boolean isAwaited = demand.filter(known -> known.waiting(model) > 0).isPresent();
        return !isAwaited || age.compareTo(MAXIMUM_LOAD_DELAY) >= 0;
    }

    /**
     * Returns how many engines of a model may load concurrently: half of them while a job of the model is open, so that
     * a step that begins meanwhile has slots. An odd number is rounded up, as a third turn of loads would end too late.
     *
     * @param model The model.
     * @param assigned The number of engines that are assigned to the model.
     * @return The number, at least 1.
     */
    long maximumLoads(String model, long assigned) {
        boolean isOpen = demand.filter(known -> known.hasOpenJob(model)).isPresent();
        return isOpen ? Math.max(1, (assigned + 1) / 2) : Long.MAX_VALUE;
    }
}
