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
import java.util.OptionalInt;
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

    /** The delay after a failed claim or load. By its end the index shows the changes of other nodes. */
    private static final Duration FAILURE_DELAY = Duration.ofMillis(600);

    /** The tables of the batch system. */
    private final BatchState state;

    /** Computes the deadlines of jobs. */
    private final JobTimeouts jobTimeouts;

    /** The time since which the runner of a job has been missing. */
    private final Map<BatchJobId, MonotonicTime> orphanedSince = new HashMap<>();

    /** The time until which a job that could not be claimed or loaded is skipped. */
    private final Map<BatchJobId, MonotonicTime> excludedUntil = new HashMap<>();

    /** The jobs that are being claimed or loaded. */
    private final Set<BatchJobId> claimingOrLoading = new HashSet<>();

    /** Whether this node has received the table of members, or found that it is alone. */
    private boolean joined;

    /** Whether this node is about to stop. */
    private boolean leaving;

    /**
     * Creates a system without jobs.
     *
     * @param state The tables of the batch system.
     * @param jobTimeouts Computes the deadlines of jobs.
     */
    BatchOwnershipSystem(BatchState state, JobTimeouts jobTimeouts) {
        this.state = state;
        this.jobTimeouts = jobTimeouts;
    }

    @Override
    public void run(Tick tick) {
        joined |= !tick.events(MembershipEvent.SelfJoined.class).isEmpty();
        leaving |= !tick.events(BatchEvent.Leaving.class).isEmpty();
        for (BatchIndex.Row changed : state.index().run(tick)) {
            evaluate(tick, changed);
        }
        state.index().open().forEach(row -> evaluate(tick, row));
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
        if (state.running().contains(id)) {
            if (!own) {
                state.stop(tick, id, "taken over by " + entry.runner());
            }
            return;
        }
        boolean inProgress = claimingOrLoading.contains(id) || state.admitting().containsKey(id);
        if (inProgress || leaving || state.finished().contains(id) || isExcluded(tick, id)) {
            return;
        }
        if (own) {
            load(tick, entry, "accepted by an earlier incarnation of this node");
        } else if (isOrphaned(tick, entry) && isPreferredRunner(id)) {
            claim(tick, row);
        }
    }

    /**
     * Returns whether a job is currently skipped.
     *
     * @param tick The tick.
     * @param id The job.
     * @return {@code true} if a claim or load failed recently.
     */
    private boolean isExcluded(Tick tick, BatchJobId id) {
        MonotonicTime until = excludedUntil.get(id);
        if (until == null) {
            return false;
        }
        if (tick.now().isBefore(until)) {
            return true;
        }
        excludedUntil.remove(id);
        return false;
    }

    /**
     * Skips a job for a while after a failure.
     *
     * @param tick The tick.
     * @param id The job.
     */
    private void exclude(Tick tick, BatchJobId id) {
        excludedUntil.put(id, tick.now().plus(FAILURE_DELAY));
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
        claimingOrLoading.add(entry.id());
        BatchIndexEntry own =
                entry.withRunner(state.membership().self().identity().name());
        state.write(
                tick,
                BatchObjects.index(entry.id()),
                OptionalLong.of(row.version()),
                state.codec().writeEntry(own),
                (later, event) -> {
                    claimingOrLoading.remove(entry.id());
                    boolean granted = event instanceof PlatformEvent.Accepted;
                    later.decide(Decision.of(
                            "batch-claim",
                            entry.id().value(),
                            granted ? "granted" : "not granted",
                            "runner " + entry.runner() + " is gone, entry version " + row.version()));
                    if (!granted) {
                        exclude(later, entry.id());
                    } else if (!state.running().contains(entry.id())) {
                        load(later, own, "taken over from " + entry.runner());
                    }
                });
    }

    /**
     * Reads a job and its listed results from the platform, and runs the job.
     *
     * @param tick The tick.
     * @param entry The job's entry.
     * @param reason Why this node runs it.
     */
    private void load(Tick tick, BatchIndexEntry entry, String reason) {
        BatchJobId id = entry.id();
        claimingOrLoading.add(id);
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
                                claimingOrLoading.remove(id);
                                exclude(later, id);
                                later.decide(Decision.of("batch-job", id.value(), "not loaded", reason));
                                return;
                            }
                            loadResults(later, job.get(), reason);
                        });
    }

    /**
     * Reads a job's listed results from the platform, and runs the remaining items.
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
                                claimingOrLoading.remove(job.id());
                                exclude(later, job.id());
                                later.decide(Decision.of("batch-job", job.id().value(), "not loaded", reason));
                                return;
                            }
                            ResultLog log = state.log(job.id(), job.items().size(), later.now());
                            log.apply(listed.objects(), listed.version(), state.codec());
                            if (log.isComplete()) {
                                claimingOrLoading.remove(job.id());
                                state.finished().add(job.id());
                                return;
                            }
                            loadTexts(later, job, Optional.empty(), new StoredTexts());
                        });
    }

    /**
     * Reads the texts that an earlier runner stored on the platform, page by page, and runs the job.
     *
     * @param tick The tick.
     * @param job The job.
     * @param after The name after which the next page starts, or empty for the first page.
     * @param texts The texts read so far.
     */
    private void loadTexts(Tick tick, BatchJob job, Optional<String> after, StoredTexts texts) {
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
                                    .ifPresent(
                                            parts -> texts.addAll(object.key().name(), parts)));
                            boolean more = event instanceof PlatformEvent.ObjectsListed listed && listed.more();
                            Optional<String> last = objects.isEmpty()
                                    ? after
                                    : Optional.of(objects.get(objects.size() - 1)
                                            .key()
                                            .name());
                            if (more && !objects.isEmpty()) {
                                loadTexts(later, job, last, texts);
                            } else {
                                begin(later, job, texts, last);
                            }
                        });
    }

    /**
     * Runs a job after its listed results have been read.
     *
     * @param tick The tick.
     * @param job The job.
     * @param texts The texts that an earlier runner stored.
     * @param lastTextObject The name of the last object with texts that an earlier runner stored, if there is one.
     */
    private void begin(Tick tick, BatchJob job, StoredTexts texts, Optional<String> lastTextObject) {
        claimingOrLoading.remove(job.id());
        if (state.running().contains(job.id()) || state.finished().contains(job.id())) {
            return;
        }
        ResultLog log = state.log(job.id(), job.items().size(), tick.now());
        state.run(tick, job, log, jobTimeouts.deadline(job, tick.now()), texts);
        int textObjects = lastTextObject
                .map(BatchObjects::number)
                .orElseGet(OptionalInt::empty)
                .orElse(-1);
        state.running().find(job.id()).ifPresent(started -> started.skipTextObjects(textObjects + 1));
    }
}
