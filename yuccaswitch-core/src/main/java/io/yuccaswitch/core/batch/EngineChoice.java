package io.yuccaswitch.core.batch;

import com.google.common.hash.Hashing;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import io.yuccaswitch.core.route.Route;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** Chooses the engines that run the items of a job. */
final class EngineChoice {

    /**
     * How long a new job waits for the engine loads of other nodes. They answer within a round trip, and an item that a
     * full engine refuses loses more time.
     */
    private static final Duration LOAD_REPORT_TIMEOUT = Duration.ofMillis(60);

    /**
     * How long a job may continuously leave slots to an earlier one. A slot that is still free then is one that the
     * earlier job can't use, for example at an engine that its node can't reach.
     */
    static final Duration YIELD_TIMEOUT = Duration.ofMillis(600);

    /**
     * The delay from which an engine outside the model's share is chosen: the share saves prompts, which are read in
     * some milliseconds, and keeps trainers apart.
     */
    private static final double SHARE_DELAY_SECONDS = 0.05;

    /** The delay from which an item leaves the engine that has its prompt in the cache: reading a prompt takes less. */
    private static final double PROMPT_SECONDS = 0.005;

    /** The tables of the batch system. */
    private final BatchState state;

    /** The rules that the options of the node ask for. */
    private final List<PlacementRule> rules;

    /**
     * Creates a choice.
     *
     * @param state The tables of the batch system.
     */
    EngineChoice(BatchState state) {
        this.state = state;
        rules = PlacementRules.of(state);
    }

    /**
     * Returns the engines that may run the items of a job now.
     *
     * @param tick The tick.
     * @param job The job.
     * @param route The job's route.
     * @return The working engines that serve the job's minimum version, are not excluded, and are not about to load a
     *     version of its model.
     */
    List<RegisteredEndpoint> engines(Tick tick, RunningJob job, Route route) {
        return route.pools().stream()
                .filter(share -> share.weight() > 0)
                .flatMap(share -> state.registry().working(share.pool()).stream())
                .filter(engine ->
                        engine.servesAtLeast(job.job().model(), job.job().minimumVersion()))
                .filter(engine ->
                        !state.loads().isExcluded(engine.name(), job.job().model(), tick.now()))
                .filter(engine -> !state.notices().isLoading(engine, job.job().model(), tick.now()))
                .toList();
    }

    /**
     * Returns the engines that jobs of a job's model prefer.
     *
     * @param job The job.
     * @param route The job's route.
     * @return Their names.
     */
    Set<EndpointName> share(RunningJob job, Route route) {
        Set<EndpointName> share = new HashSet<>();
        for (Route.PoolShare pool : route.pools()) {
            Set<String> models = state.routes()
                    .active()
                    .map(found -> found.models().get(pool.pool()))
                    .orElseGet(Set::of);
            share.addAll(
                    ModelShare.of(job.job().model(), models, state.registry().working(pool.pool())));
        }
        return share;
    }

    /**
     * Chooses the engine for an item: the engine of its group, which has already processed the prompt, or otherwise one
     * with the newest version, in the model's share if possible, and with the lowest load.
     *
     * @param tick The tick.
     * @param job The job.
     * @param item The item.
     * @param engines The engines that may run it.
     * @param share The engines that jobs of the model prefer.
     * @param route The job's route.
     * @return The engine, or empty if none has a free slot.
     */
    Optional<RegisteredEndpoint> choose(
            Tick tick,
            RunningJob job,
            RunningItem item,
            List<RegisteredEndpoint> engines,
            Set<EndpointName> share,
            Route route) {
        Placement placement = new Placement(tick.now(), job, item);
        Set<EndpointName> slow = slowEngines(tick, placement, engines);
        List<RegisteredEndpoint> free = engines.stream()
                .filter(engine -> freeSlots(engine) > 0)
                .filter(engine ->
                        !state.loads().isOnTrial(engine.name(), job.job().model()))
                .filter(engine -> !slow.contains(engine.name()) || inUse(engine) == 0)
                .toList();
        List<RegisteredEndpoint> healthy =
                free.stream().filter(engine -> !slow.contains(engine.name())).toList();
        List<RegisteredEndpoint> allowed = healthy.isEmpty() ? free : healthy;
        for (PlacementRule rule : rules) {
            allowed = rule.filter(placement, allowed);
        }
        Map<EndpointName, Double> delays = new HashMap<>();
        allowed.forEach(engine -> delays.put(engine.name(), delaySeconds(placement, engine)));
        Optional<RegisteredEndpoint> chosen = groupEngine(placement, allowed, slow, delays);
        if (chosen.isEmpty()) {
            chosen = fastestEngine(placement, allowed, slow, delays, share, route);
        }
        chosen.ifPresent(
                engine -> rules.forEach(rule -> rule.explain(placement, engine).ifPresent(tick::decide)));
        return chosen;
    }

    /**
     * Returns the engine of an item's group, unless the item would end later there than where it has to read the prompt
     * again.
     *
     * @param placement The start of the item.
     * @param free The engines at which it may start.
     * @param slow The engines that it avoids because they are slow.
     * @param delays The expected delays at the engines, in seconds.
     * @return The engine, or empty if there is none or the item has been interrupted.
     */
    private Optional<RegisteredEndpoint> groupEngine(
            Placement placement,
            List<RegisteredEndpoint> free,
            Set<EndpointName> slow,
            Map<EndpointName, Double> delays) {
        RunningItem item = placement.item();
        boolean wasMoved = state.options().sharedSpeeds() && item.startedAttempts() > 0;
        Optional<EndpointName> last = placement.job().lastEngine(item.item().group());
        if (last.isEmpty() || !item.text().isEmpty() || wasMoved) {
            return Optional.empty();
        }
        double least =
                delays.values().stream().mapToDouble(delay -> delay).min().orElse(0);
        return free.stream()
                .filter(engine -> engine.name().equals(last.get()))
                .filter(engine -> !slow.contains(engine.name()))
                .filter(engine -> delays.get(engine.name()) <= least + PROMPT_SECONDS)
                .findFirst();
    }

    /**
     * Returns the engine with the newest version at which an item is expected to end first, in the model's share if
     * possible.
     *
     * @param placement The start of the item.
     * @param free The engines at which it may start.
     * @param slow The engines that it avoids because they are slow.
     * @param delays The expected delays at the engines, in seconds.
     * @param share The engines that jobs of the model prefer.
     * @param route The job's route.
     * @return The engine, or empty if there is none.
     */
    private Optional<RegisteredEndpoint> fastestEngine(
            Placement placement,
            List<RegisteredEndpoint> free,
            Set<EndpointName> slow,
            Map<EndpointName, Double> delays,
            Set<EndpointName> share,
            Route route) {
        String model = placement.job().job().model();
        Optional<PoolName> pool = route.pick(positionOf(placement.item().item().group()));
        return free.stream()
                .min(Comparator.comparing((RegisteredEndpoint engine) -> slow.contains(engine.name()))
                        .thenComparing(
                                engine -> pool.filter(engine.pool()::equals).isEmpty())
                        .thenComparingLong(engine -> -engine.version(model).orElse(0))
                        .thenComparingLong(engine -> (long) (delays.get(engine.name()) / SHARE_DELAY_SECONDS))
                        .thenComparing(engine -> !share.contains(engine.name()))
                        .thenComparingDouble(engine -> delays.get(engine.name()))
                        .thenComparingDouble(engine -> (double) inUse(engine) / Math.max(1, engine.slots())));
    }

    /**
     * Returns the engines that an item avoids because they are slow.
     *
     * @param tick The tick.
     * @param placement The start of the item.
     * @param engines The engines that may run it.
     * @return Their names.
     */
    private Set<EndpointName> slowEngines(Tick tick, Placement placement, List<RegisteredEndpoint> engines) {
        if (state.options().sharedSpeeds()) {
            return EngineSpeedRule.avoided(state, placement, engines, engine -> inUse(engine) == 0);
        }
        return engines.stream()
                .map(RegisteredEndpoint::name)
                .filter(engine -> isSlow(tick, engine))
                .collect(Collectors.toSet());
    }

    /**
     * Estimates by how much later an item ends at an engine than at an idle engine of usual speed.
     *
     * @param placement The start of the item.
     * @param engine The engine.
     * @return The delay in seconds, or 0 if no rule applies.
     */
    private double delaySeconds(Placement placement, RegisteredEndpoint engine) {
        return rules.stream()
                .mapToDouble(rule -> rule.delaySeconds(placement, engine))
                .sum();
    }

    /**
     * Returns the number of items of a job that may start now: the number of free slots that no earlier job waits for.
     * The trainer waits for the earlier job first, so a later one does not take its slots.
     *
     * @param tick The tick.
     * @param running The job.
     * @param engines The engines that may run it.
     * @return The number, which is briefly zero until the other nodes that run jobs have reported their loads.
     */
    long startable(Tick tick, RunningJob running, List<RegisteredEndpoint> engines) {
        if (awaitsReports(tick, running)) {
            return 0;
        }
        BatchJob job = running.job();
        long free = freeSlots(engines);
        long startable = free - state.remoteLoads().waitingBefore(job.model(), job.submittedAt());
        return running.hasYielded(free > 0 && startable <= 0, tick.now(), YIELD_TIMEOUT)
                ? free
                : Math.max(0, startable);
    }

    /**
     * Returns whether a new job waits for the engine loads of other nodes.
     *
     * @param tick The tick.
     * @param running The job.
     * @return {@code true} if a node that runs jobs has not reported its loads and the job is recent.
     */
    boolean awaitsReports(Tick tick, RunningJob running) {
        boolean isNew = tick.now().since(running.startedAt()).compareTo(LOAD_REPORT_TIMEOUT) < 0;
        return isNew && !state.remoteLoads().nodes().containsAll(state.otherRunners());
    }

    /**
     * Returns the number of free slots of engines.
     *
     * @param engines The engines.
     * @return The number, not negative.
     */
    long freeSlots(List<RegisteredEndpoint> engines) {
        return engines.stream().mapToLong(this::freeSlots).sum();
    }

    /**
     * Returns the number of free slots of an engine, based on the loads of this node and the reports of other nodes.
     *
     * @param engine The engine.
     * @return The number, not negative.
     */
    long freeSlots(RegisteredEndpoint engine) {
        return Math.max(0, engine.slots() - inUse(engine));
    }

    /**
     * Returns the number of items in progress at an engine.
     *
     * @param engine The engine.
     * @return The number.
     */
    private int inUse(RegisteredEndpoint engine) {
        return state.loads().running(engine.name()) + state.remoteLoads().running(engine.name());
    }

    /**
     * Returns the position of a group among the pool weights of a split route. All its items have the same position, as
     * they share a prompt.
     *
     * @param group The group.
     * @return A number from 0 to below 1.
     */
    private static double positionOf(String group) {
        long hash = Hashing.farmHashFingerprint64()
                .hashString(group, StandardCharsets.UTF_8)
                .asLong();
        return (hash >>> 1) / (double) Long.MAX_VALUE;
    }

    /**
     * Returns whether an engine is considered slow.
     *
     * @param tick The tick.
     * @param engine The engine.
     * @return {@code true} if it is.
     */
    boolean isSlow(Tick tick, EndpointName engine) {
        return state.rates().isSlow(engine, tick.now());
    }
}
