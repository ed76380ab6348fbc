package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.membership.MembershipView;
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
import java.util.Set;
import java.util.function.LongSupplier;

/** Accepts, runs, lists, and ends batch jobs. What has to last lies on the platform; a node keeps none of it. */
public final class BatchSystem implements DecisionSystem {

    /** Gathers changes of the index, which only save work and calls, into few answers of the platform. */
    private static final Duration GATHERING = Duration.ofMillis(400);

    /** The tables that the parts share. */
    private final BatchState state;

    /** The parts, in the order in which they run. */
    private final List<DecisionSystem> parts;

    /**
     * Creates a system without jobs.
     *
     * @param membership The nodes of the site.
     * @param watches This node's shared watches.
     * @param registry The engines.
     * @param routes The configuration of routes.
     * @param codec Writes and reads what is kept on the platform.
     * @param tokens Hands out the tokens of calls.
     * @param quarantine What is known of requests under which endpoints ended.
     * @param timeOfDay Tells the time of day in milliseconds since the epoch.
     */
    public BatchSystem(
            MembershipView membership,
            SharedWatches watches,
            EndpointRegistrySystem registry,
            RouteConfigurationSystem routes,
            BatchCodec codec,
            PlatformTokens tokens,
            Quarantine quarantine,
            LongSupplier timeOfDay) {
        KindFeed entries = watches.watch(BatchObjects.INDEX, PlatformPurpose.BATCH, tokens, GATHERING);
        BatchIndex index = new BatchIndex(entries, codec);
        state = BatchState.empty(membership, registry, routes, codec, new PlatformCalls(tokens), index, quarantine);
        GiveUpTimes giveUpTimes = new GiveUpTimes(routes, timeOfDay);
        parts = List.of(
                new BatchAdmissionSystem(state, giveUpTimes, new RunnerChoice(membership, routes)),
                new JobHandOverSystem(state, giveUpTimes),
                new BatchOwnershipSystem(state, giveUpTimes),
                new BatchEndSystem(state),
                new LoadSharingSystem(state),
                new RestartedEngineSystem(state),
                new SlowEngineSystem(state),
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
        state.calls().answer(tick);
        parts.forEach(part -> part.run(tick));
    }

    /**
     * Returns the number of items of the site's open jobs, which would run now if there were places for all.
     *
     * @param models The models of the jobs that count.
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
}
