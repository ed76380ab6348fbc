package io.yuccaswitch.node.entry;

import io.javalin.http.Context;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import io.yuccaswitch.core.configuration.FleetConfiguration;
import io.yuccaswitch.core.request.Request;
import io.yuccaswitch.node.entry.WaitingCallers.Signal;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** The routes that carry requests to endpoints. */
final class RequestRoutes {

    /** The callers that wait for outcomes. */
    private final WaitingCallers callers;

    /** What reads requests. */
    private final RequestReader reader;

    /** Returns the configuration in force. */
    private final Supplier<FleetConfiguration> configuration;

    /** The threads that write answers. */
    private final Scheduler writers;

    /**
     * Creates new routes.
     *
     * @param callers The callers that wait for outcomes.
     * @param reader What reads requests.
     * @param configuration Returns the configuration in force.
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
     * Takes a request for a generation.
     *
     * @param context The request.
     */
    void generate(Context context) {
        Request request = reader.generation(context, configuration.get());
        if (request.streaming()) {
            stream(context, request);
        } else {
            whole(context, request);
        }
    }

    /**
     * Takes a request to a plain service.
     *
     * @param context The request.
     */
    void serve(Context context) {
        whole(context, reader.service(context, configuration.get()));
    }

    /**
     * Answers with the outcome of a request.
     *
     * @param context The HTTP request.
     * @param request The request.
     */
    private void whole(Context context, Request request) {
        CompletableFuture<Signal.Concluded> outcome = new CompletableFuture<>();
        Disposable waiting = callers.submit(request)
                .observeOn(writers)
                .ofType(Signal.Concluded.class)
                .subscribe(outcome::complete, outcome::completeExceptionally);
        context.future(
                () -> outcome.thenAccept(concluded -> AnswerWriter.write(context, request.id(), concluded.outcome()))
                        .whenComplete((_result, _failure) -> waiting.dispose()));
    }

    /**
     * Streams a generation. A caller that can't be written to went away.
     *
     * @param context The HTTP request.
     * @param request The request.
     */
    private void stream(Context context, Request request) {
        EventStreamWriter writer = new EventStreamWriter(request, context);
        CompletableFuture<Void> finished = new CompletableFuture<>();
        Disposable waiting = callers.submit(request)
                .observeOn(writers, false, 1)
                .subscribe(writer::accept, _failure -> finished.complete(null), () -> finished.complete(null));
        context.future(() -> finished.whenComplete((_result, _failure) -> waiting.dispose()));
    }
}
