package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.time.MonotonicTime;
import io.yuccaswitch.core.value.Bytes;
import java.time.Duration;
import java.util.Optional;

/** Answers calls for the bodies of items: from the job that runs here, else from its runner, else from the platform. */
final class BodyReadSystem implements DecisionSystem {

    /** How long a runner may take to hand on a body, of the second that callers wait at least. */
    private static final Duration RUNNER_TIME = Duration.ofMillis(250);

    /** The tables of the batch system. */
    private final BatchState state;

    /** Asks the runners of jobs. */
    private final RunnerReads runners;

    /** The calls for bodies that wait for a runner's answer, by their tickets. */
    private final EntityTable<Long, BodyCall> bodyCalls = new EntityTable<>();

    /**
     * Creates a system without calls.
     *
     * @param state The tables of the batch system.
     */
    BodyReadSystem(BatchState state) {
        this.state = state;
        runners = new RunnerReads(state.index(), state.membership());
    }

    @Override
    public void run(Tick tick) {
        tick.events(BatchEvent.BodyRequested.class).forEach(request -> readBody(tick, request));
        runners.receive(tick).forEach(answer -> takeRunners(tick, answer));
        bodyCalls.rows().stream()
                .filter(call -> !tick.now().isBefore(call.until()))
                .forEach(call -> readStoredBody(tick, call.request()));
    }

    /**
     * Takes the answer of a runner. Where it has none, the platform is asked.
     *
     * @param tick The tick.
     * @param taken The answer.
     */
    private void takeRunners(Tick tick, RunnerReads.Answer taken) {
        Optional<BodyCall> call = bodyCalls.find(taken.ticket());
        if (call.isEmpty()) {
            return;
        }
        if (taken.answer().isPresent()) {
            replyBody(tick, call.get().request(), taken.answer().get());
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
        BatchMessage question =
                new BatchMessage.ReadBody(request.ticket(), request.id().value(), request.item());
        if (runners.ask(tick, request.id(), request.ticket(), question)) {
            bodyCalls.put(request.ticket(), new BodyCall(request, runnerUntil(tick, request)));
            return;
        }
        readStoredBody(tick, request);
    }

    /**
     * Returns until when a runner may answer.
     *
     * @param tick The tick.
     * @param request The call.
     * @return The time.
     */
    private static MonotonicTime runnerUntil(Tick tick, BatchEvent.BodyRequested request) {
        MonotonicTime until = tick.now().plus(RUNNER_TIME);
        return until.isBefore(request.deadline()) ? until : request.deadline();
    }

    /**
     * Answers a call for a body with what the platform keeps.
     *
     * @param tick The tick.
     * @param request The call.
     */
    private void readStoredBody(Tick tick, BatchEvent.BodyRequested request) {
        runners.forget(request.ticket());
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
     * @param until When the platform is asked instead.
     */
    private record BodyCall(BatchEvent.BodyRequested request, MonotonicTime until) {}
}
