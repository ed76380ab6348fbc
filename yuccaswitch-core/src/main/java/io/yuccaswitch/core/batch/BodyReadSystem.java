package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.time.MonotonicTime;
import io.yuccaswitch.core.value.Bytes;
import java.time.Duration;
import java.util.Optional;

/**
 * Answers calls for the bodies of items from the job if it runs at this node, otherwise from its runner, otherwise from
 * the platform.
 */
final class BodyReadSystem implements DecisionSystem {

    /** How long a runner may take to return a body. Callers wait for at least one second. */
    private static final Duration RUNNER_TIMEOUT = Duration.ofMillis(250);

    /** The tables of the batch system. */
    private final BatchState state;

    /** Queries the runners of jobs. */
    private final RunnerQueries runnerQueries;

    /** The calls for bodies that wait for a runner's answer, by their tickets. */
    private final EntityTable<Long, BodyCall> bodyCalls = new EntityTable<>();

    /**
     * Creates a system without calls.
     *
     * @param state The tables of the batch system.
     */
    BodyReadSystem(BatchState state) {
        this.state = state;
        runnerQueries = new RunnerQueries(state.index(), state.membership());
    }

    @Override
    public void run(Tick tick) {
        tick.events(BatchEvent.BodyRequested.class).forEach(request -> readBody(tick, request));
        runnerQueries.receive(tick).forEach(answer -> handleRunnerAnswer(tick, answer));
        bodyCalls.rows().stream()
                .filter(call -> !tick.now().isBefore(call.until()))
                .forEach(call -> readStoredBody(tick, call.request()));
    }

    /**
     * Handles the answer of a runner. If the runner has none, the platform is queried.
     *
     * @param tick The tick.
     * @param answer The answer.
     */
    private void handleRunnerAnswer(Tick tick, RunnerQueries.Answer answer) {
        Optional<BodyCall> call = bodyCalls.find(answer.ticket());
        if (call.isEmpty()) {
            return;
        }
        if (answer.answer().isPresent()) {
            replyBody(tick, call.get().request(), answer.answer().get());
        } else {
            readStoredBody(tick, call.get().request());
        }
    }

    /**
     * Answers a call for a body.
     *
     * @param tick The tick.
     * @param request The call.
     */
    private void readBody(Tick tick, BatchEvent.BodyRequested request) {
        Optional<Bytes> body = state.body(request.id(), request.item());
        if (body.isPresent()) {
            tick.emit(new BatchEffect.Reply(request.ticket(), new BatchAnswer.Body(body.get())));
            return;
        }
        BatchMessage query =
                new BatchMessage.ReadBody(request.ticket(), request.id().value(), request.item());
        if (runnerQueries.send(tick, request.id(), request.ticket(), query)) {
            bodyCalls.put(request.ticket(), new BodyCall(request, runnerDeadline(tick, request)));
            return;
        }
        readStoredBody(tick, request);
    }

    /**
     * Returns the time until which a runner may answer.
     *
     * @param tick The tick.
     * @param request The call.
     * @return The time.
     */
    private static MonotonicTime runnerDeadline(Tick tick, BatchEvent.BodyRequested request) {
        MonotonicTime until = tick.now().plus(RUNNER_TIMEOUT);
        return until.isBefore(request.deadline()) ? until : request.deadline();
    }

    /**
     * Answers a call for a body from the job stored on the platform.
     *
     * @param tick The tick.
     * @param request The call.
     */
    private void readStoredBody(Tick tick, BatchEvent.BodyRequested request) {
        runnerQueries.forget(request.ticket());
        bodyCalls.remove(request.ticket());
        state.read(
                tick,
                request.deadline(),
                BatchObjects.job(request.id()),
                (later, event) -> replyBody(later, request, bodyOf(request.item(), event)));
    }

    /**
     * Answers a call for a body.
     *
     * @param tick The tick.
     * @param request The call.
     * @param answer The answer.
     */
    private void replyBody(Tick tick, BatchEvent.BodyRequested request, BatchAnswer answer) {
        bodyCalls.remove(request.ticket());
        tick.emit(new BatchEffect.Reply(request.ticket(), answer));
    }

    /**
     * Finds a body in a job that was read.
     *
     * @param item The item.
     * @param event The platform's answer.
     * @return The answer to the call.
     */
    private BatchAnswer bodyOf(String item, PlatformEvent event) {
        if (!(event instanceof PlatformEvent.ObjectRead read)) {
            return new BatchAnswer.Unsure("the platform did not answer");
        }
        return read.object()
                .flatMap(object -> state.codec().readJob(object.value()))
                .flatMap(job -> job.find(item))
                .<BatchAnswer>map(found -> new BatchAnswer.Body(found.body()))
                .orElseGet(BatchAnswer.Unknown::new);
    }

    /**
     * A call for a body that waits for a runner's answer.
     *
     * @param request The call.
     * @param until When the platform is queried instead.
     */
    private record BodyCall(BatchEvent.BodyRequested request, MonotonicTime until) {}
}
