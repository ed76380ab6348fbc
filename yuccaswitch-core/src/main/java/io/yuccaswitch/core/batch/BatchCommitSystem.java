package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.membership.RandomPeer;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Lists results on the platform. Each object of results is created under the number behind the last known one, such
 * that of two nodes that run one job only one creates it; the other reads the winner's and goes on behind it.
 */
final class BatchCommitSystem implements DecisionSystem {

    /** The pause between two objects of one job. Each has a price, and a trainer reads about twice a second. */
    private static final Duration INTERVAL = Duration.ofMillis(300);

    /**
     * The pause before an object that makes a group whole. Trainers wait for whole groups, and the last ones of a step
     * come one by one: the longer pause would hold each of them back by up to 300 ms, and make a trainer miss a read.
     */
    private static final Duration WHOLE_GROUP_INTERVAL = Duration.ofMillis(60);

    /** The wait after a call that failed, on top of the pause between two objects. */
    private static final Duration FAILURE_WAIT = Duration.ofMillis(140);

    /** The largest size of the outputs in one object, in bytes. Encoded, they stay well below a megabyte. */
    private static final long OBJECT_BYTES = 300_000;

    /** How long another node may take to list results: the time of a call to the platform, and some for the way. */
    private static final Duration RELAY_TIME = Duration.ofMillis(1500);

    /** The tables of the batch system. */
    private final BatchState state;

    /** The results that other nodes were asked to list, by ticket. */
    private final EntityTable<Long, Relayed> relayed = new EntityTable<>();

    /** The ticket that was handed out last. */
    private long lastTicket;

    /**
     * Creates a system without results.
     *
     * @param state The tables of the batch system.
     */
    BatchCommitSystem(BatchState state) {
        this.state = state;
    }

    @Override
    public void run(Tick tick) {
        takeRelayed(tick);
        for (RunningJob job : state.running().rows()) {
            List<BatchResult> pending = job.pending();
            if (!pending.isEmpty() && job.mayCommit(tick.now(), pause(job))) {
                commit(tick, job, firstOf(pending));
            }
        }
    }

    /**
     * Returns the pause before the next results of a job.
     *
     * @param job The job.
     * @return The pause, which is short if a group is whole with them.
     */
    private static Duration pause(RunningJob job) {
        return job.isFinished() ? Duration.ZERO : job.hasWholeGroupPending() ? WHOLE_GROUP_INTERVAL : INTERVAL;
    }

    /**
     * Sends results to the platform.
     *
     * @param tick The tick.
     * @param job The job.
     * @param results The results.
     */
    private void commit(Tick tick, RunningJob job, List<BatchResult> results) {
        BatchJobId id = job.job().id();
        ResultLog log = state.log(id, job.job().items().size(), tick.now());
        int number = log.objects();
        job.beginCommit();
        state.write(
                tick,
                BatchObjects.results(id, number),
                OptionalLong.empty(),
                state.codec().writeResults(results),
                (later, event) -> receive(later, new Commit(job, log, number), results, event));
    }

    /**
     * Takes the platform's answer.
     *
     * @param tick The tick.
     * @param commit What was sent.
     * @param results The results that were sent.
     * @param event The answer.
     */
    private void receive(Tick tick, Commit commit, List<BatchResult> results, PlatformEvent event) {
        if (event instanceof PlatformEvent.Accepted) {
            append(tick, commit, results, "listed");
            return;
        }
        Optional<List<BatchResult>> stored = Optional.empty();
        if (event instanceof PlatformEvent.Conflict conflict) {
            stored = conflict.current().map(StoredObject::value).flatMap(value -> state.codec()
                    .readResults(value));
        }
        if (stored.isPresent()) {
            append(tick, commit, stored.get(), "listed before");
            return;
        }
        if (!relay(tick, commit, results)) {
            fail(tick, commit, "the platform answered " + event.getClass().getSimpleName());
        }
    }

    /**
     * Asks another node to list results, as the platform may answer that one.
     *
     * @param tick The tick.
     * @param commit What is to be listed.
     * @param results The results.
     * @return Whether a node was asked.
     */
    private boolean relay(Tick tick, Commit commit, List<BatchResult> results) {
        Optional<NodeName> chosen = RandomPeer.choose(tick, state.membership());
        if (chosen.isEmpty()) {
            return false;
        }
        NodeName other = chosen.get();
        lastTicket++;
        relayed.put(
                lastTicket, new Relayed(lastTicket, commit, other, tick.now().plus(RELAY_TIME)));
        tick.emit(new PeerEffect.Send(
                other,
                new BatchMessage.StoreResults(
                        lastTicket,
                        commit.job().job().id().value(),
                        commit.number(),
                        state.codec().writeResults(results))));
        return true;
    }

    /**
     * Takes what became of results that other nodes were asked to list.
     *
     * @param tick The tick.
     */
    private void takeRelayed(Tick tick) {
        for (PeerEvent.Received received : tick.events(PeerEvent.Received.class)) {
            if (received.message() instanceof BatchMessage.ResultsStored stored) {
                relayed.find(stored.ticket())
                        .filter(request -> request.isAnsweredBy(stored))
                        .ifPresent(request -> take(tick, request, stored));
            }
        }
        for (Relayed request : relayed.rows()) {
            if (!tick.now().isBefore(request.until())) {
                relayed.remove(request.ticket());
                fail(tick, request.commit(), "neither the platform nor " + request.other() + " answered");
            }
        }
    }

    /**
     * Takes the answer of another node.
     *
     * @param tick The tick.
     * @param request What the node was asked.
     * @param stored The answer.
     */
    private void take(Tick tick, Relayed request, BatchMessage.ResultsStored stored) {
        relayed.remove(request.ticket());
        Optional<List<BatchResult>> results =
                stored.listed() ? state.codec().readResults(stored.value()) : Optional.empty();
        if (results.isPresent()) {
            append(tick, request.commit(), results.get(), "listed by " + request.other());
        } else {
            fail(tick, request.commit(), "the platform did not answer " + request.other() + " either");
        }
    }

    /**
     * Takes note that results are not listed yet.
     *
     * @param tick The tick.
     * @param commit What was sent.
     * @param reason Why, for logs.
     */
    private static void fail(Tick tick, Commit commit, String reason) {
        commit.job().endCommit(tick.now().plus(FAILURE_WAIT));
        tick.decide(Decision.of("batch-results", commit.job().job().id().value(), "not listed", reason));
    }

    /**
     * Takes results that lie on the platform, unless a reader has found them there already.
     *
     * @param tick The tick.
     * @param commit What was sent.
     * @param results The results.
     * @param choice What happened, for logs.
     */
    private void append(Tick tick, Commit commit, List<BatchResult> results, String choice) {
        BatchJobId id = commit.job().job().id();
        if (commit.log().objects() == commit.number()) {
            commit.log().append(results);
        }
        tick.decide(Decision.of(
                "batch-results",
                id.value(),
                choice,
                "object " + commit.number() + " with " + results.size() + " results, "
                        + commit.log().size() + " in all"));
        state.drop(tick, id, results);
        commit.job().endCommit(tick.now());
    }

    /**
     * Returns as many results as fit one object.
     *
     * @param pending The results that are not listed.
     * @return The first of them.
     */
    private static List<BatchResult> firstOf(List<BatchResult> pending) {
        List<BatchResult> first = new ArrayList<>();
        long size = 0;
        for (BatchResult result : pending) {
            size += result.output().size();
            if (!first.isEmpty() && size > OBJECT_BYTES) {
                break;
            }
            first.add(result);
        }
        return first;
    }

    /**
     * Results that were sent to the platform.
     *
     * @param job The job.
     * @param log The job's log.
     * @param number The number of the object.
     */
    private record Commit(RunningJob job, ResultLog log, int number) {}

    /**
     * Results that another node was asked to list.
     *
     * @param ticket The ticket of the request.
     * @param commit What is to be listed.
     * @param other The node.
     * @param until Until when its answer is awaited.
     */
    private record Relayed(long ticket, Commit commit, NodeName other, MonotonicTime until) {

        /**
         * Returns whether an answer belongs to this request, and not to one of this node's earlier life.
         *
         * @param stored The answer.
         * @return {@code true} if it names the same object.
         */
        boolean isAnsweredBy(BatchMessage.ResultsStored stored) {
            return commit.job().job().id().value().equals(stored.id()) && commit.number() == stored.number();
        }
    }
}
