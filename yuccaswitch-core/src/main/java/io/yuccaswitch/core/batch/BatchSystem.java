package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.modelversion.ModelDemand;
import io.yuccaswitch.core.platform.KindFeed;
import io.yuccaswitch.core.platform.PlatformCalls;
import io.yuccaswitch.core.platform.PlatformPurpose;
import io.yuccaswitch.core.platform.PlatformTokens;
import io.yuccaswitch.core.quarantine.Quarantine;
import io.yuccaswitch.core.registry.EndpointRegistrySystem;
import io.yuccaswitch.core.route.RouteConfigurationSystem;
import io.yuccaswitch.core.watch.SharedWatches;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;

/** Accepts, runs, lists, and ends batch jobs. All durable state is stored on the platform; a node stores none of it. */
public final class BatchSystem implements DecisionSystem {

    /**
     * The delay for which the platform batches index changes into one answer. The index only saves work and calls, so a
     * delay is harmless.
     */
    private static final Duration BATCHING_DELAY = Duration.ofMillis(400);

    /** The tables that the subsystems share. */
    private final BatchState state;

    /** The subsystems, in the order in which they run. */
    private final List<DecisionSystem> subsystems;

    /**
     * Creates a system without jobs.
     *
     * @param membership The nodes of the site.
     * @param watches This node's shared watches.
     * @param registry The engines.
     * @param routes The configuration of routes.
     * @param codec Encodes and decodes the values that are stored on the platform.
     * @param tokens Allocates the tokens of calls.
     * @param quarantine The state of requests that may have caused endpoints to end.
     * @param options The optional decisions that the settings of the node ask for.
     * @param timeOfDay Supplies the time of day in milliseconds since the epoch.
     */
    public BatchSystem(
            MembershipView membership,
            SharedWatches watches,
            EndpointRegistrySystem registry,
            RouteConfigurationSystem routes,
            BatchCodec codec,
            PlatformTokens tokens,
            Quarantine quarantine,
            SchedulingOptions options,
            LongSupplier timeOfDay) {
        KindFeed entries = watches.watch(
                BatchObjects.INDEX, PlatformPurpose.BATCH, BatchIndex.openJobs(codec), tokens, BATCHING_DELAY);
        BatchIndex index = new BatchIndex(entries, codec);
        state = BatchState.empty(
                membership, registry, routes, codec, new PlatformCalls(tokens), index, quarantine, options);
        JobTimeouts jobTimeouts = new JobTimeouts(routes, timeOfDay);
        JobLoader loader = new JobLoader(state, jobTimeouts);
        subsystems = List.of(
                new BatchAdmissionSystem(state, loader, new RunnerChoice(membership, routes)),
                new JobHandOverSystem(state, loader),
                new BatchOwnershipSystem(state, loader),
                new BatchEndSystem(state),
                loader,
                new LoadSharingSystem(state),
                new LoadNoticeSystem(state),
                new RestartedEngineSystem(state),
                options.sharedSpeeds() ? new EngineSpeedSystem(state) : new SlowEngineSystem(state),
                new EngineMemorySystem(state),
                new BatchRunSystem(state),
                new TextCheckpointSystem(state),
                new ScoringSystem(state),
                new BatchCommitSystem(state),
                new ResultRelaySystem(state),
                new RunnerReadSystem(state),
                new BatchReadSystem(state),
                new BodyReadSystem(state));
    }

    @Override
    public void run(Tick tick) {
        state.calls().processAnswers(tick);
        subsystems.forEach(subsystem -> subsystem.run(tick));
    }

    /**
     * Returns the demand for models, by which loads of versions are coordinated.
     *
     * @return The demand, or empty if the options of the node don't ask for it.
     */
    public Optional<ModelDemand> modelDemand() {
        return state.options().coordinatedLoads() ? Optional.of(new BatchDemand(state)) : Optional.empty();
    }

    /**
     * Returns the number of items of the site's open jobs, which is the number that would run now if there were enough
     * slots.
     *
     * @param models The models whose jobs are counted.
     * @return The number.
     */
    public int openItems(Set<String> models) {
        return state.index().open().stream()
                .map(BatchIndex.Row::entry)
                .filter(entry -> models.contains(entry.model()))
                .mapToInt(BatchIndexEntry::items)
                .sum();
    }

    /**
     * Returns the number of jobs that this node runs.
     *
     * @return The number.
     */
    public int runningJobs() {
        return state.running().size();
    }

    /**
     * Returns the tables of this system.
     *
     * @return The tables.
     */
    BatchState state() {
        return state;
    }
}
