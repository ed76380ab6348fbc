package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Places items at healthy engines with the fewest long items, so that those that leave one slow engine are spread:
 * several long items at one engine end late together if that engine becomes slow.
 */
final class EngineSpeedRule implements PlacementRule {

    /**
     * The delay in seconds for each long item at an engine. It only decides between engines that are equal otherwise,
     * and is less than the loss by a slowdown that has just been detected.
     */
    private static final double LONG_ITEM_DELAY = 0.01;

    /** The multiple of the mean number of events of the running items from which an item is long. */
    private static final int LONG_ITEM_FACTOR = 2;

    /** The tables of the batch system. */
    private final BatchState state;

    /** The start for which the long items were counted last. */
    private Optional<Placement> counted = Optional.empty();

    /** The number of long items at each engine. */
    private Map<EndpointName, Integer> longItems = Map.of();

    /**
     * Creates a rule.
     *
     * @param state The tables of the batch system.
     */
    EngineSpeedRule(BatchState state) {
        this.state = state;
    }

    @Override
    public boolean allows(Placement _placement, RegisteredEndpoint _engine) {
        return true;
    }

    @Override
    public double delaySeconds(Placement placement, RegisteredEndpoint engine) {
        if (counted.filter(placement::equals).isEmpty()) {
            longItems = countLongItems(state);
            counted = Optional.of(placement);
        }
        double slowdown = state.speeds()
                .slowdown(engine.name(), placement.now())
                .filter(found -> !found.isLasting())
                .map(found -> found.expectedRemaining().toNanos() / 1e9 * (1 - found.rateShare()))
                .orElse(0.0);
        return Math.max(0, slowdown) + LONG_ITEM_DELAY * longItems.getOrDefault(engine.name(), 0);
    }

    /**
     * Returns the engines that an item avoids because they are expected to stay slow. If these are most of the engines,
     * the item avoids none: then the usual speed has changed, or a report is wrong.
     *
     * @param state The tables of the batch system.
     * @param placement The start of the item.
     * @param engines The engines that may run the item.
     * @param isIdle Returns whether no known item runs at an engine.
     * @return Their names, without those that are tried with this item.
     */
    static Set<EndpointName> avoided(
            BatchState state,
            Placement placement,
            List<RegisteredEndpoint> engines,
            Predicate<RegisteredEndpoint> isIdle) {
        Set<EndpointName> avoided = new HashSet<>();
        for (RegisteredEndpoint engine : engines) {
            if (state.speeds().isLasting(engine.name(), placement.now())) {
                avoided.add(engine.name());
            }
        }
        if (2 * avoided.size() > engines.size()) {
            return Set.of();
        }
        if (!avoided.isEmpty() && isSuitableForTrial(placement)) {
            engines.stream()
                    .filter(isIdle)
                    .filter(engine -> state.speeds().isTrialDue(engine.name(), placement.now()))
                    .forEach(engine -> avoided.remove(engine.name()));
        }
        return avoided;
    }

    /**
     * Returns whether an item may be used to try an engine that was slow: one that has not run yet, and is not expected
     * to be longer than the mean of its job, which would determine the job's end.
     *
     * @param placement The start of the item.
     * @return {@code true} if it may.
     */
    private static boolean isSuitableForTrial(Placement placement) {
        List<BatchItem> items = placement.job().job().items();
        double mean =
                items.stream().mapToLong(BatchItem::expectedTokens).average().orElse(0);
        return placement.item().startedAttempts() == 0
                && placement.item().item().expectedTokens() <= mean;
    }

    /**
     * Counts the long items at each engine: those that resumed, and those that have made more events than most.
     *
     * @param state The tables of the batch system.
     * @return The numbers, for engines with at least one.
     */
    private static Map<EndpointName, Integer> countLongItems(BatchState state) {
        List<RunningItem> running = state.running().view().stream()
                .flatMap(job -> job.items().stream())
                .filter(item -> item.endpoint().isPresent())
                .toList();
        double mean = running.stream()
                .mapToLong(RunningItem::receivedEvents)
                .average()
                .orElse(0);
        Map<EndpointName, Integer> counts = new HashMap<>();
        for (RunningItem item : running) {
            if (!item.text().isEmpty() || item.receivedEvents() > LONG_ITEM_FACTOR * mean) {
                counts.merge(item.endpoint().orElseThrow(), 1, Integer::sum);
            }
        }
        return counts;
    }
}
