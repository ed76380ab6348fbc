package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.StoredObject;
import java.util.Optional;
import java.util.OptionalLong;

/** Ends batch jobs: marks the index entry as ended, and notifies the runner, which cancels the items in progress. */
final class BatchEndSystem implements DecisionSystem {

    /** The maximum number of writes of the end of a job when concurrent changes of its entry conflict with them. */
    private static final int MAXIMUM_ATTEMPTS = 4;

    /** The tables of the batch system. */
    private final BatchState state;

    /**
     * Creates a system without calls.
     *
     * @param state The tables of the batch system.
     */
    BatchEndSystem(BatchState state) {
        this.state = state;
    }

    @Override
    public void run(Tick tick) {
        for (PeerEvent.Received received : tick.events(PeerEvent.Received.class)) {
            if (received.message() instanceof BatchMessage.Ended ended) {
                stop(
                        tick,
                        new BatchJobId(ended.id()),
                        "notified by " + received.sender().name());
            }
        }
        tick.events(BatchEvent.EndRequested.class).forEach(request -> begin(tick, request));
    }

    /**
     * Starts ending a job, with this node's copy of the entry, or with the platform's if there is no copy.
     *
     * @param tick The tick.
     * @param request The call.
     */
    private void begin(Tick tick, BatchEvent.EndRequested request) {
        Optional<BatchIndex.Row> existing = state.index().find(request.id());
        if (existing.isPresent()) {
            end(tick, request, existing.get(), MAXIMUM_ATTEMPTS);
            return;
        }
        state.read(
                tick,
                request.deadline(),
                BatchObjects.index(request.id()),
                (later, event) -> mark(later, request, event, MAXIMUM_ATTEMPTS));
    }

    /**
     * Marks a job as ended, based on the current entry.
     *
     * @param tick The tick.
     * @param request The call.
     * @param event The answer that contains the entry.
     * @param attemptsLeft The number of remaining attempts.
     */
    private void mark(Tick tick, BatchEvent.EndRequested request, PlatformEvent event, int attemptsLeft) {
        if (event instanceof PlatformEvent.Unavailable failure) {
            BatchAnswer answer = failure.maybeApplied()
                    ? new BatchAnswer.Unsure(failure.reason())
                    : new BatchAnswer.NotAccepted(failure.reason());
            reply(tick, request, answer);
            return;
        }
        Optional<StoredObject> object = event instanceof PlatformEvent.ObjectRead read
                ? read.object()
                : event instanceof PlatformEvent.Conflict conflict ? conflict.current() : Optional.empty();
        Optional<BatchIndexEntry> entry = object.flatMap(stored -> state.codec().readEntry(stored.value()));
        if (entry.isEmpty()) {
            reply(tick, request, new BatchAnswer.Unknown());
            return;
        }
        end(tick, request, new BatchIndex.Row(entry.get(), object.get().version()), attemptsLeft);
    }

    /**
     * Writes the end of a job, unless it has already been ended.
     *
     * @param tick The tick.
     * @param request The call.
     * @param row The job's entry.
     * @param attemptsLeft The number of remaining attempts.
     */
    private void end(Tick tick, BatchEvent.EndRequested request, BatchIndex.Row row, int attemptsLeft) {
        BatchIndexEntry entry = row.entry();
        if (entry.ended() || attemptsLeft == 0) {
            reply(tick, request, entry.ended() ? new BatchAnswer.Ended() : new BatchAnswer.NotAccepted("contended"));
            return;
        }
        state.write(
                tick,
                request.deadline(),
                BatchObjects.index(request.id()),
                OptionalLong.of(row.version()),
                state.codec().writeEntry(entry.withEnd()),
                (later, answer) -> {
                    if (answer instanceof PlatformEvent.Accepted) {
                        announce(later, entry);
                        reply(later, request, new BatchAnswer.Ended());
                    } else {
                        mark(later, request, answer, attemptsLeft - 1);
                    }
                });
    }

    /**
     * Notifies the runner that its job has been ended.
     *
     * @param tick The tick.
     * @param entry The job's entry.
     */
    private void announce(Tick tick, BatchIndexEntry entry) {
        if (entry.runner().equals(state.membership().self().identity().name())) {
            stop(tick, entry.id(), "ended by its submitter");
            return;
        }
        tick.emit(new PeerEffect.Send(
                entry.runner(), new BatchMessage.Ended(entry.id().value())));
    }

    /**
     * Stops a job that runs at this node.
     *
     * @param tick The tick.
     * @param id The job.
     * @param reason The reason.
     */
    private void stop(Tick tick, BatchJobId id, String reason) {
        state.stop(tick, id, reason);
        state.finished().add(id);
    }

    /**
     * Answers a call.
     *
     * @param tick The tick.
     * @param request The call.
     * @param answer The answer.
     */
    private static void reply(Tick tick, BatchEvent.EndRequested request, BatchAnswer answer) {
        tick.emit(new BatchEffect.Reply(request.ticket(), answer));
        tick.decide(Decision.of(
                "batch-end", request.id().value(), answer.getClass().getSimpleName(), "requested by a caller"));
    }
}
