package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.MemberCondition;
import io.yuccaswitch.core.membership.MembershipEvent;
import io.yuccaswitch.core.membership.RendezvousRanking;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.PlatformPurpose;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Ensures that each accepted job is run by a running node: resumes the jobs of this node's previous incarnation, takes
 * over the jobs of nodes that are gone, and stops jobs that another node has taken over. A claim only avoids duplicate
 * work; the order of results is safe without it.
 */
final class BatchOwnershipSystem implements DecisionSystem {

    /**
     * How long a runner must be missing before its jobs are taken over. The delay lets a restarted runner resume them
     * itself.
     */
    private static final Duration ORPHAN_TIMEOUT = Duration.ofMillis(700);

    /**
     * How long the index may lack a running job before its entry is read from the platform: longer than a change
     * usually takes to arrive, and short, as items of an ended job must stop within seconds. A list of the index omits
     * ended jobs.
     */
    private static final Duration UNLISTED_TIMEOUT = Duration.ofSeconds(1);

    /** The tables of the batch system. */
    private final BatchState state;

    /** Starts jobs. */
    private final JobLoader loader;

    /** The time since which the runner of a job has been missing. */
    private final Map<BatchJobId, MonotonicTime> orphanedSince = new HashMap<>();

    /** The time since which the index has lacked a running job, or of the latest read of its entry. */
    private final Map<BatchJobId, MonotonicTime> unlistedSince = new HashMap<>();

    /** The jobs that are being claimed. */
    private final Set<BatchJobId> claiming = new HashSet<>();

    /** Whether this node has received the table of members, or found that it is alone. */
    private boolean joined;

    /** Whether this node is about to stop. */
    private boolean leaving;

    /**
     * Creates a system without jobs.
     *
     * @param state The tables of the batch system.
     * @param loader Starts jobs.
     */
    BatchOwnershipSystem(BatchState state, JobLoader loader) {
        this.state = state;
        this.loader = loader;
    }

    @Override
    public void run(Tick tick) {
        joined |= !tick.events(MembershipEvent.SelfJoined.class).isEmpty();
        leaving |= !tick.events(BatchEvent.Leaving.class).isEmpty();
        for (BatchIndex.Row changed : state.index().run(tick)) {
            evaluate(tick, changed);
        }
        state.index().open().forEach(row -> evaluate(tick, row));
        checkUnlisted(tick);
    }

    /**
     * Reads the entries of running jobs that the index lacks, as these may have ended.
     *
     * @param tick The tick.
     */
    private void checkUnlisted(Tick tick) {
        unlistedSince.keySet().removeIf(id -> !state.running().contains(id) || isListed(id));
        for (RunningJob running : state.running().view()) {
            BatchJobId id = running.job().id();
            if (isListed(id)) {
                continue;
            }
            MonotonicTime since = unlistedSince.computeIfAbsent(id, _id -> tick.now());
            if (tick.now().since(since).compareTo(UNLISTED_TIMEOUT) >= 0) {
                unlistedSince.put(id, tick.now());
                readEntry(tick, id);
            }
        }
    }

    /**
     * Returns whether the index has a job.
     *
     * @param id The job.
     * @return {@code true} if it has.
     */
    private boolean isListed(BatchJobId id) {
        return state.index().find(id).isPresent();
    }

    /**
     * Reads the entry of a job from the platform, and acts on it if the index still lacks the job.
     *
     * @param tick The tick.
     * @param id The job.
     */
    private void readEntry(Tick tick, BatchJobId id) {
        state.calls()
                .call(
                        tick,
                        token -> new PlatformEffect.Read(token, PlatformPurpose.BATCH, BatchObjects.index(id)),
                        (later, event) -> {
                            if (event instanceof PlatformEvent.ObjectRead read && !isListed(id)) {
                                read.object()
                                        .flatMap(object -> state.codec()
                                                .readEntry(object.value())
                                                .map(entry -> new BatchIndex.Row(entry, object.version())))
                                        .ifPresent(row -> evaluate(later, row));
                            }
                        });
    }

    /**
     * Acts on the current state of an index entry: stops, loads or claims the job.
     *
     * @param tick The tick.
     * @param row The entry.
     */
    private void evaluate(Tick tick, BatchIndex.Row row) {
        BatchIndexEntry entry = row.entry();
        BatchJobId id = entry.id();
        boolean own = entry.runner().equals(state.membership().self().identity().name());
        if (entry.ended()) {
            state.stop(tick, id, "ended by its submitter");
            state.finished().add(id);
            orphanedSince.remove(id);
            return;
        }
        if (!own) {
            loader.drop(id);
        }
        if (state.running().contains(id)) {
            if (!own) {
                state.stop(tick, id, "taken over by " + entry.runner());
            }
            return;
        }
        boolean inProgress = claiming.contains(id) || state.admitting().containsKey(id) || loader.isStarted(id);
        if (inProgress || leaving || loader.isExcluded(tick, id)) {
            return;
        }
        if (own) {
            loader.load(tick, id, JobStart.of(JobStart.Cause.LOADED));
        } else if (isOrphaned(tick, entry) && isPreferredRunner(id)) {
            claim(tick, row);
        }
    }

    /**
     * Returns whether a job's runner has been missing for long enough.
     *
     * @param tick The tick.
     * @param entry The job's entry.
     * @return {@code true} if it has.
     */
    private boolean isOrphaned(Tick tick, BatchIndexEntry entry) {
        if (!joined || isRunning(entry.runner())) {
            orphanedSince.remove(entry.id());
            return false;
        }
        MonotonicTime since = orphanedSince.computeIfAbsent(entry.id(), _id -> tick.now());
        return tick.now().since(since).compareTo(ORPHAN_TIMEOUT) >= 0;
    }

    /**
     * Returns whether a node still runs its jobs. A node that is about to stop still runs them.
     *
     * @param node The node.
     * @return {@code true} unless it is gone.
     */
    private boolean isRunning(NodeName node) {
        return state.membership()
                .find(node)
                .filter(member -> member.condition() != MemberCondition.DEAD)
                .isPresent();
    }

    /**
     * Returns whether this node is the one that should take a job over.
     *
     * @param id The job.
     * @return {@code true} if it ranks first among the working nodes.
     */
    private boolean isPreferredRunner(BatchJobId id) {
        Member self = state.membership().self();
        return RendezvousRanking.rank(id.value(), state.membership().working()).stream()
                .findFirst()
                .filter(self::equals)
                .isPresent();
    }

    /**
     * Claims a job of a runner that is gone.
     *
     * @param tick The tick.
     * @param row The job's entry.
     */
    private void claim(Tick tick, BatchIndex.Row row) {
        BatchIndexEntry entry = row.entry();
        claiming.add(entry.id());
        BatchIndexEntry own =
                entry.withRunner(state.membership().self().identity().name());
        state.write(
                tick,
                BatchObjects.index(entry.id()),
                OptionalLong.of(row.version()),
                state.codec().writeEntry(own),
                (later, event) -> {
                    claiming.remove(entry.id());
                    boolean granted = event instanceof PlatformEvent.Accepted;
                    later.decide(Decision.of(
                            "batch-claim",
                            entry.id().value(),
                            granted ? "granted" : "not granted",
                            "runner " + entry.runner() + " is gone, entry version " + row.version()));
                    if (granted) {
                        JobStart start = JobStart.from(JobStart.Cause.TAKEN_OVER, entry.runner());
                        loader.load(later, entry.id(), start);
                    } else {
                        loader.exclude(later, entry.id());
                    }
                });
    }
}
