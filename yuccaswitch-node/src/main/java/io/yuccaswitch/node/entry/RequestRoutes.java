package io.yuccaswitch.node.entry;

import io.javalin.http.Context;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import io.yuccaswitch.core.configuration.FleetConfiguration;
import io.yuccaswitch.core.request.Request;
import io.yuccaswitch.node.entry.WaitingCallers.Signal;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** The routes that forward requests to endpoints. */
final class RequestRoutes {

    /** The callers that wait for outcomes. */
    private final WaitingCallers callers;

    /** The reader of requests. */
    private final RequestReader reader;

    /** Supplies the active configuration. */
    private final Supplier<FleetConfiguration> configuration;

    /** The threads that write answers. */
    private final Scheduler writers;

    /**
     * Creates new routes.
     *
     * @param callers The callers that wait for outcomes.
     * @param reader The reader of requests.
     * @param configuration Supplies the active configuration.
     * @param writers The threads that write answers.
     */
    RequestRoutes(
            WaitingCallers callers,
            RequestReader reader,
            Supplier<FleetConfiguration> configuration,
            Scheduler writers) {
        this.callers = callers;
        this.reader = reader;
        this.configuration = configuration;
        this.writers = writers;
    }

    /**
     * Handles a request for a generation.
     *
     * @param context The request.
     */
    void generate(Context context) {
        Request request = reader.generation(context, configuration.get());
        if (request.streaming()) {
            stream(context, request);
        } else {
            answerWithOutcome(context, request);
        }
    }

    /**
     * Handles a request to a service.
     *
     * @param context The request.
     */
    void serve(Context context) {
        answerWithOutcome(context, reader.service(context, configuration.get()));
    }

    /**
     * Answers with the outcome of a request.
     *
     * @param context The HTTP request.
     * @param request The request.
     */
    private void answerWithOutcome(Context context, Request request) {
        CompletableFuture<Signal.Concluded> outcome = new CompletableFuture<>();
        Disposable subscription = callers.submit(request)
                .observeOn(writers)
                .ofType(Signal.Concluded.class)
                .subscribe(outcome::complete, outcome::completeExceptionally);
        context.future(
                () -> outcome.thenAccept(concluded -> AnswerWriter.write(context, request.id(), concluded.outcome()))
                        .whenComplete((_result, _failure) -> subscription.dispose()));
    }

    /**
     * Streams a generation. A caller is treated as disconnected if writing to it fails.
     *
     * @param context The HTTP request.
     * @param request The request.
     */
    private void stream(Context context, Request request) {
        EventStreamWriter writer = new EventStreamWriter(request, context);
        CompletableFuture<Void> finished = new CompletableFuture<>();
        Disposable subscription = callers.submit(request)
                .observeOn(writers, false, 1)
                .subscribe(writer::accept, _failure -> finished.complete(null), () -> finished.complete(null));
        context.future(() -> finished.whenComplete((_result, _failure) -> subscription.dispose()));
    }
}
