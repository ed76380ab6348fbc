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
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Chooses the engines that run the items of a job. */
final class EngineChoice {

    /**
     * How long a new job waits to hear what other nodes have at the engines. They answer within a round trip, and an
     * item that is refused by a full engine loses more.
     */
    private static final Duration HEARING_TIME = Duration.ofMillis(60);

    /**
     * For how long a job leaves places to an earlier one in a row. A place that is still free then is one that the
     * earlier job can't use, such as at an engine that its node does not reach.
     */
    private static final Duration YIELDING_TIME = Duration.ofMillis(600);

    /** The tables of the batch system. */
    private final BatchState state;

    /**
     * Creates a choice.
     *
     * @param state The tables of the batch system.
     */
    EngineChoice(BatchState state) {
        this.state = state;
    }

    /**
     * Returns the engines that may run the items of a job now.
     *
     * @param tick The tick.
     * @param job The job.
     * @param route The job's route.
     * @return The working engines with the job's version that are not left alone.
     */
    List<RegisteredEndpoint> engines(Tick tick, RunningJob job, Route route) {
        return route.pools().stream()
                .filter(share -> share.weight() > 0)
                .flatMap(share -> state.registry().working(share.pool()).stream())
                .filter(engine ->
                        engine.servesAtLeast(job.job().model(), job.job().minimumVersion()))
                .filter(engine ->
                        !state.loads().isPaused(engine.name(), job.job().model(), tick.now()))
                .toList();
    }

    /**
     * Returns the engines that jobs of a model take before others.
     *
     * @param job The job.
     * @param route The job's route.
     * @return Their names.
     */
    Set<EndpointName> share(RunningJob job, Route route) {
        Set<EndpointName> share = new HashSet<>();
        for (Route.PoolShare pool : route.pools()) {
            Set<String> models = state.routes()
                    .inForce()
                    .map(found -> found.models().get(pool.pool()))
                    .orElseGet(Set::of);
            share.addAll(
                    ModelShare.of(job.job().model(), models, state.registry().working(pool.pool())));
        }
        return share;
    }

    /**
     * Chooses the engine for an item: that of its group, which has read the prompt, else the one with the newest
     * version, of the model's share if there is one, and with the fewest items.
     *
     * @param tick The tick.
     * @param job The job.
     * @param item The item.
     * @param engines The engines that may run it.
     * @param share The engines that jobs of the model take first.
     * @param route The job's route.
     * @return The engine, or empty if all have enough to do.
     */
    Optional<RegisteredEndpoint> choose(
            Tick tick,
            RunningJob job,
            RunningItem item,
            List<RegisteredEndpoint> engines,
            Set<EndpointName> share,
            Route route) {
        List<RegisteredEndpoint> free = engines.stream()
                .filter(engine -> freePlaces(engine) > 0)
                .filter(engine ->
                        !state.loads().isOnTrial(engine.name(), job.job().model()))
                .filter(engine -> !isSlow(tick, engine.name()) || inUse(engine) == 0)
                .toList();
        Optional<EndpointName> last = job.lastEngine(item.item().group());
        Optional<RegisteredEndpoint> same = free.stream()
                .filter(engine -> last.filter(engine.name()::equals).isPresent())
                .filter(engine -> !isSlow(tick, engine.name()))
                .findFirst();
        if (same.isPresent() && item.text().isEmpty()) {
            return same;
        }
        String model = job.job().model();
        Optional<PoolName> pool = route.pick(pointOf(item.item().group()));
        return free.stream()
                .min(Comparator.comparing((RegisteredEndpoint engine) -> isSlow(tick, engine.name()))
                        .thenComparing(
                                engine -> pool.filter(engine.pool()::equals).isEmpty())
                        .thenComparingLong(engine -> -engine.version(model).orElse(0))
                        .thenComparing(engine -> !share.contains(engine.name()))
                        .thenComparingDouble(engine -> (double) inUse(engine) / Math.max(1, engine.slots())));
    }

    /**
     * Returns how many items of a job may start now: as many as places are free that no earlier job waits for. The
     * trainer waits for the earlier one first, so a later one does not take its places.
     *
     * @param tick The tick.
     * @param running The job.
     * @param engines The engines that may run it.
     * @return The number, which is zero for a moment while the other nodes that run jobs are asked.
     */
    long startable(Tick tick, RunningJob running, List<RegisteredEndpoint> engines) {
        boolean isNew = tick.now().since(running.begunAt()).compareTo(HEARING_TIME) < 0;
        if (isNew && !state.runners().nodes().containsAll(state.otherRunners())) {
            return 0;
        }
        BatchJob job = running.job();
        long free = engines.stream().mapToLong(this::freePlaces).sum();
        long startable = free - state.runners().waitingBefore(job.model(), job.submittedAt());
        return running.hasYielded(free > 0 && startable <= 0, tick.now(), YIELDING_TIME)
                ? free
                : Math.max(0, startable);
    }

    /**
     * Returns how many items an engine can take, by what is known of this node and the others.
     *
     * @param engine The engine.
     * @return The number, not negative.
     */
    long freePlaces(RegisteredEndpoint engine) {
        return Math.max(0, engine.slots() - inUse(engine));
    }

    /**
     * Returns how many items are in progress at an engine.
     *
     * @param engine The engine.
     * @return The number.
     */
    private int inUse(RegisteredEndpoint engine) {
        return state.loads().running(engine.name()) + state.runners().running(engine.name());
    }

    /**
     * Returns where a group lies between the pools of a split route. All its items lie there, as they share a prompt.
     *
     * @param group The group.
     * @return A number from 0 to below 1.
     */
    private static double pointOf(String group) {
        long hash = Hashing.farmHashFingerprint64()
                .hashString(group, StandardCharsets.UTF_8)
                .asLong();
        return (hash >>> 1) / (double) Long.MAX_VALUE;
    }

    /**
     * Returns whether an engine is taken to be slow.
     *
     * @param tick The tick.
     * @param engine The engine.
     * @return {@code true} if it is.
     */
    boolean isSlow(Tick tick, EndpointName engine) {
        return state.rates().isSlow(engine, tick.now());
    }
}
