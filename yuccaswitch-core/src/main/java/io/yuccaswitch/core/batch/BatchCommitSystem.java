package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.membership.RandomPeer;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.peer.RequestNumbers;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Lists results on the platform. Each object of results is created under the number that follows the last known one, so
 * that of two nodes that run the same job only one creates it; the other reads the created object and continues after
 * it.
 */
final class BatchCommitSystem implements DecisionSystem {

    /**
     * The delay between two objects of one job. Each object is a platform call, and a trainer reads about twice a
     * second.
     */
    private static final Duration COMMIT_INTERVAL = Duration.ofMillis(300);

    /**
     * The delay before an object that completes a group. Trainers wait for complete groups, and the last groups of a
     * step complete one by one: the longer delay would hold back each of them by up to 300 ms, and make a trainer miss
     * a read.
     */
    private static final Duration COMPLETE_GROUP_INTERVAL = Duration.ofMillis(60);

    /** The delay after a failed call, in addition to the delay between two objects. */
    private static final Duration FAILURE_DELAY = Duration.ofMillis(140);

    /** The maximum size of the outputs in one object, in bytes. Encoded, they stay well below a megabyte. */
    private static final long MAXIMUM_OBJECT_BYTES = 300_000;

    /** How long another node may take to list results: the duration of a platform call, plus the network latency. */
    private static final Duration RELAY_TIMEOUT = Duration.ofMillis(1500);

    /** The tables of the batch system. */
    private final BatchState state;

    /** The results that other nodes were asked to list, by ticket. */
    private final EntityTable<Long, Relayed> relayed = new EntityTable<>();

    /** Allocates the tickets of relayed results. */
    private final RequestNumbers tickets;

    /**
     * Creates a system without results.
     *
     * @param state The tables of the batch system.
     */
    BatchCommitSystem(BatchState state) {
        this.state = state;
        tickets = new RequestNumbers(state.membership().self().identity());
    }

    @Override
    public void run(Tick tick) {
        handleRelayed(tick);
        for (RunningJob job : state.running().rows()) {
            List<BatchResult> pending = job.pending();
            if (!pending.isEmpty() && job.mayCommit(tick.now(), delay(job))) {
                commit(tick, job, firstOf(pending));
            }
        }
    }

    /**
     * Returns the delay before the next results of a job.
     *
     * @param job The job.
     * @return The delay, which is short if the results complete a group.
     */
    private static Duration delay(RunningJob job) {
        return job.isFinished()
                ? Duration.ZERO
                : job.hasCompleteGroupPending() ? COMPLETE_GROUP_INTERVAL : COMMIT_INTERVAL;
    }

    /**
     * Writes results to the platform. If the log already contains results of some of their items, these are dropped,
     * and the others follow in the next tick: the conditional creation only protects the number of an object, not its
     * items.
     *
     * @param tick The tick.
     * @param job The job.
     * @param results The results.
     */
    private void commit(Tick tick, RunningJob job, List<BatchResult> results) {
        BatchJobId id = job.job().id();
        ResultLog log = state.log(id, job.job().items().size(), tick.now());
        List<BatchResult> listed =
                results.stream().filter(result -> log.contains(result.item())).toList();
        if (!listed.isEmpty()) {
            state.trace().dropped(tick, log, listed);
            state.removeListed(tick, id, listed);
            return;
        }
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
     * Handles the platform's answer.
     *
     * @param tick The tick.
     * @param commit The write.
     * @param results The written results.
     * @param event The answer.
     */
    private void receive(Tick tick, Commit commit, List<BatchResult> results, PlatformEvent event) {
        if (event instanceof PlatformEvent.Accepted) {
            append(tick, commit, results, JobObservation.Origin.LISTED, "listed");
            return;
        }
        Optional<List<BatchResult>> stored = Optional.empty();
        if (event instanceof PlatformEvent.Conflict conflict) {
            stored = conflict.current().map(StoredObject::value).flatMap(value -> state.codec()
                    .readResults(value));
        }
        if (stored.isPresent()) {
            append(tick, commit, stored.get(), JobObservation.Origin.CONFLICTING, "listed before");
            return;
        }
        if (!relay(tick, commit, results)) {
            fail(tick, commit, "the platform answered " + event.getClass().getSimpleName());
        }
    }

    /**
     * Asks another node to list results, as the platform may be reachable from there.
     *
     * @param tick The tick.
     * @param commit The write to relay.
     * @param results The results.
     * @return Whether a node was asked.
     */
    private boolean relay(Tick tick, Commit commit, List<BatchResult> results) {
        Optional<NodeName> chosen = RandomPeer.choose(tick, state.membership());
        if (chosen.isEmpty()) {
            return false;
        }
        NodeName other = chosen.get();
        long ticket = tickets.next();
        relayed.put(ticket, new Relayed(ticket, commit, other, tick.now().plus(RELAY_TIMEOUT)));
        tick.emit(new PeerEffect.Send(
                other,
                new BatchMessage.StoreResults(
                        ticket,
                        commit.job().job().id().value(),
                        commit.number(),
                        state.codec().writeResults(results))));
        return true;
    }

    /**
     * Handles the answers and timeouts of results that other nodes were asked to list.
     *
     * @param tick The tick.
     */
    private void handleRelayed(Tick tick) {
        for (PeerEvent.Received received : tick.events(PeerEvent.Received.class)) {
            if (received.message() instanceof BatchMessage.ResultsStored stored) {
                relayed.find(stored.ticket())
                        .filter(request -> request.isAnsweredBy(stored))
                        .ifPresent(request -> handle(tick, request, stored));
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
     * Handles the answer of another node.
     *
     * @param tick The tick.
     * @param request The relayed write.
     * @param stored The answer.
     */
    private void handle(Tick tick, Relayed request, BatchMessage.ResultsStored stored) {
        relayed.remove(request.ticket());
        Optional<List<BatchResult>> results =
                stored.listed() ? state.codec().readResults(stored.value()) : Optional.empty();
        if (results.isPresent()) {
            append(
                    tick,
                    request.commit(),
                    results.get(),
                    JobObservation.Origin.RELAYED,
                    "listed by " + request.other());
        } else {
            fail(tick, request.commit(), "the platform did not answer " + request.other() + " either");
        }
    }

    /**
     * Records that results are not listed yet.
     *
     * @param tick The tick.
     * @param commit The write.
     * @param reason The reason, for logs.
     */
    private void fail(Tick tick, Commit commit, String reason) {
        commit.job().endCommit(tick.now().plus(FAILURE_DELAY));
        state.trace().notListed(tick, traced(commit), reason);
    }

    /**
     * Appends results that are listed on the platform to the log, unless a reader has already added them.
     *
     * @param tick The tick.
     * @param commit The write.
     * @param results The results.
     * @param origin Who created the object.
     * @param choice The outcome, for logs.
     */
    private void append(
            Tick tick, Commit commit, List<BatchResult> results, JobObservation.Origin origin, String choice) {
        BatchJobId id = commit.job().job().id();
        JobTrace.ObjectWrite write = traced(commit);
        boolean next = state.append(tick, id, commit.log(), commit.number(), results);
        state.trace().listed(tick, write, results, origin, choice, next);
        commit.job().endCommit(tick.now());
    }

    /**
     * Describes a write for the trace. It is not current if the job was stopped or its log was evicted in the meantime.
     *
     * @param commit The write.
     * @return The description.
     */
    private JobTrace.ObjectWrite traced(Commit commit) {
        BatchJobId id = commit.job().job().id();
        boolean current = state.running().find(id).filter(commit.job()::equals).isPresent()
                && state.logs().find(id).filter(commit.log()::equals).isPresent();
        return new JobTrace.ObjectWrite(commit.log(), commit.number(), current);
    }

    /**
     * Returns as many results as fit in one object.
     *
     * @param pending The results that are not listed.
     * @return The first of them.
     */
    private static List<BatchResult> firstOf(List<BatchResult> pending) {
        List<BatchResult> first = new ArrayList<>();
        long size = 0;
        for (BatchResult result : pending) {
            size += result.output().size();
            if (!first.isEmpty() && size > MAXIMUM_OBJECT_BYTES) {
                break;
            }
            first.add(result);
        }
        return first;
    }

    /**
     * A write of results to the platform.
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
     * @param commit The write to relay.
     * @param other The node.
     * @param until The time until which its answer is awaited.
     */
    private record Relayed(long ticket, Commit commit, NodeName other, MonotonicTime until) {

        /**
         * Returns whether an answer belongs to this request, and not to one of an earlier incarnation of this node.
         *
         * @param stored The answer.
         * @return {@code true} if it names the same object.
         */
        boolean isAnsweredBy(BatchMessage.ResultsStored stored) {
            return commit.job().job().id().value().equals(stored.id()) && commit.number() == stored.number();
        }
    }
}
