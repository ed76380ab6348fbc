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
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Sees to it that each accepted job is run by a living node: takes back the jobs of this node's earlier life, takes
 * over those of nodes that are gone, and gives up those that another node has taken over. A claim only saves work; the
 * order of results is safe without it.
 */
final class BatchOwnershipSystem implements DecisionSystem {

    /** For how long a runner must be missing before its jobs are taken over, as a restarted one takes them back. */
    private static final Duration ORPHAN_TIME = Duration.ofMillis(700);

    /** The pause after a claim or a load that failed, by when the index shows what others have changed. */
    private static final Duration FAILURE_PAUSE = Duration.ofMillis(600);

    /** The tables of the batch system. */
    private final BatchState state;

    /** Finds out when a job is given up. */
    private final GiveUpTimes giveUpTimes;

    /** Since when the runner of a job has been missing. */
    private final Map<BatchJobId, MonotonicTime> orphanedSince = new HashMap<>();

    /** Until when a job is left alone that could not be claimed or loaded. */
    private final Map<BatchJobId, MonotonicTime> pausedUntil = new HashMap<>();

    /** The jobs that are being taken over. */
    private final Set<BatchJobId> taking = new HashSet<>();

    /** Whether this node knows the other nodes. */
    private boolean joined;

    /** Whether this node is about to stop. */
    private boolean leaving;

    /**
     * Creates a system that knows no jobs.
     *
     * @param state The tables of the batch system.
     * @param giveUpTimes Finds out when a job is given up.
     */
    BatchOwnershipSystem(BatchState state, GiveUpTimes giveUpTimes) {
        this.state = state;
        this.giveUpTimes = giveUpTimes;
    }

    @Override
    public void run(Tick tick) {
        joined |= !tick.events(MembershipEvent.SelfJoined.class).isEmpty();
        leaving |= !tick.events(BatchEvent.Leaving.class).isEmpty();
        for (BatchIndex.Row changed : state.index().run(tick)) {
            judge(tick, changed);
        }
        state.index().open().forEach(row -> judge(tick, row));
    }

    /**
     * Decides what an entry of the index means for this node.
     *
     * @param tick The tick.
     * @param row The entry.
     */
    private void judge(Tick tick, BatchIndex.Row row) {
        BatchIndexEntry entry = row.entry();
        BatchJobId id = entry.id();
        boolean own = entry.runner().equals(state.membership().self().identity().name());
        if (entry.ended()) {
            state.stop(tick, id, "ended by its submitter");
            state.finished().add(id);
            orphanedSince.remove(id);
            return;
        }
        if (state.running().contains(id)) {
            if (!own) {
                state.stop(tick, id, "taken over by " + entry.runner());
            }
            return;
        }
        boolean inProgress = taking.contains(id) || state.admitting().containsKey(id);
        if (inProgress || leaving || state.finished().contains(id) || isPaused(tick, id)) {
            return;
        }
        if (own) {
            load(tick, entry, "accepted by an earlier life of this node");
        } else if (isOrphaned(tick, entry) && isFirst(id)) {
            claim(tick, row);
        }
    }

    /**
     * Returns whether a job is left alone for a while.
     *
     * @param tick The tick.
     * @param id The job.
     * @return {@code true} if a claim or load failed a short time ago.
     */
    private boolean isPaused(Tick tick, BatchJobId id) {
        MonotonicTime until = pausedUntil.get(id);
        if (until == null) {
            return false;
        }
        if (tick.now().isBefore(until)) {
            return true;
        }
        pausedUntil.remove(id);
        return false;
    }

    /**
     * Leaves a job alone for a while after a failure.
     *
     * @param tick The tick.
     * @param id The job.
     */
    private void pause(Tick tick, BatchJobId id) {
        pausedUntil.put(id, tick.now().plus(FAILURE_PAUSE));
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
        return tick.now().since(since).compareTo(ORPHAN_TIME) >= 0;
    }

    /**
     * Returns whether a node still runs its jobs. A node that is about to stop does.
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
    private boolean isFirst(BatchJobId id) {
        Member self = state.membership().self();
        return RendezvousRanking.rank(id.value(), state.membership().working()).stream()
                .findFirst()
                .filter(self::equals)
                .isPresent();
    }

    /**
     * Takes a job over.
     *
     * @param tick The tick.
     * @param row The job's entry.
     */
    private void claim(Tick tick, BatchIndex.Row row) {
        BatchIndexEntry entry = row.entry();
        taking.add(entry.id());
        BatchIndexEntry own =
                entry.withRunner(state.membership().self().identity().name());
        state.write(
                tick,
                BatchObjects.index(entry.id()),
                OptionalLong.of(row.version()),
                state.codec().writeEntry(own),
                (later, event) -> {
                    taking.remove(entry.id());
                    boolean granted = event instanceof PlatformEvent.Accepted;
                    later.decide(Decision.of(
                            "batch-claim",
                            entry.id().value(),
                            granted ? "granted" : "not granted",
                            "runner " + entry.runner() + " is gone, entry version " + row.version()));
                    if (!granted) {
                        pause(later, entry.id());
                    } else if (!state.running().contains(entry.id())) {
                        load(later, own, "taken over from " + entry.runner());
                    }
                });
    }

    /**
     * Reads a job and its listed results from the platform, and runs it.
     *
     * @param tick The tick.
     * @param entry The job's entry.
     * @param reason Why this node runs it.
     */
    private void load(Tick tick, BatchIndexEntry entry, String reason) {
        BatchJobId id = entry.id();
        taking.add(id);
        state.calls()
                .call(
                        tick,
                        token -> new PlatformEffect.Read(token, PlatformPurpose.BATCH, BatchObjects.job(id)),
                        (later, event) -> {
                            Optional<BatchJob> job = event instanceof PlatformEvent.ObjectRead found
                                    ? found.object()
                                            .flatMap(object -> state.codec().readJob(object.value()))
                                    : Optional.empty();
                            if (job.isEmpty()) {
                                taking.remove(id);
                                pause(later, id);
                                later.decide(Decision.of("batch-job", id.value(), "not loaded", reason));
                                return;
                            }
                            loadResults(later, job.get(), reason);
                        });
    }

    /**
     * Reads a job's listed results from the platform, and runs the rest.
     *
     * @param tick The tick.
     * @param job The job.
     * @param reason Why this node runs it.
     */
    private void loadResults(Tick tick, BatchJob job, String reason) {
        String kind = BatchObjects.results(job.id());
        state.calls()
                .call(
                        tick,
                        token -> new PlatformEffect.ListKind(token, PlatformPurpose.BATCH, kind),
                        (later, event) -> {
                            if (!(event instanceof PlatformEvent.ObjectsListed listed)) {
                                taking.remove(job.id());
                                pause(later, job.id());
                                later.decide(Decision.of("batch-job", job.id().value(), "not loaded", reason));
                                return;
                            }
                            ResultLog log = state.log(job.id(), job.items().size(), later.now());
                            log.take(listed.objects(), listed.version(), state.codec());
                            if (log.isComplete()) {
                                taking.remove(job.id());
                                state.finished().add(job.id());
                                return;
                            }
                            loadTexts(later, job, Optional.empty(), new KeptTexts(), 0);
                        });
    }

    /**
     * Reads the texts that an earlier runner has kept on the platform, page by page, and runs the job.
     *
     * @param tick The tick.
     * @param job The job.
     * @param after The name behind which the next page begins, or empty for the first page.
     * @param texts The texts so far.
     * @param known The number of objects that were read.
     */
    private void loadTexts(Tick tick, BatchJob job, Optional<String> after, KeptTexts texts, int known) {
        String kind = BatchObjects.texts(job.id());
        state.calls()
                .call(
                        tick,
                        token -> new PlatformEffect.ListKind(token, PlatformPurpose.BATCH, kind, after, false),
                        (later, event) -> {
                            List<StoredObject> objects =
                                    event instanceof PlatformEvent.ObjectsListed listed ? listed.objects() : List.of();
                            objects.forEach(object -> state.codec()
                                    .readTexts(object.value())
                                    .ifPresent(parts -> parts.forEach(texts::take)));
                            int read = known + objects.size();
                            boolean more = event instanceof PlatformEvent.ObjectsListed listed && listed.more();
                            if (more && !objects.isEmpty()) {
                                String last =
                                        objects.get(objects.size() - 1).key().name();
                                loadTexts(later, job, Optional.of(last), texts, read);
                            } else {
                                begin(later, job, texts, read);
                            }
                        });
    }

    /**
     * Runs a job whose listed results are known.
     *
     * @param tick The tick.
     * @param job The job.
     * @param texts The texts that an earlier runner has kept.
     * @param textObjects The number of objects with texts that an earlier runner has kept.
     */
    private void begin(Tick tick, BatchJob job, KeptTexts texts, int textObjects) {
        taking.remove(job.id());
        if (state.running().contains(job.id()) || state.finished().contains(job.id())) {
            return;
        }
        ResultLog log = state.log(job.id(), job.items().size(), tick.now());
        state.run(tick, job, log, giveUpTimes.of(job, tick.now()), texts);
        state.running().find(job.id()).ifPresent(started -> started.countTextObjects(textObjects));
    }
}
