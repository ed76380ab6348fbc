package io.yuccaswitch.node.entry;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.http.Context;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import io.yuccaswitch.core.configuration.FleetConfiguration;
import io.yuccaswitch.core.request.Outcome;
import io.yuccaswitch.core.request.RequestEffect;
import io.yuccaswitch.core.request.RequestEvent;
import io.yuccaswitch.core.request.RequestId;
import io.yuccaswitch.node.decision.DecisionLoop;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Returns the outcome of a request. */
final class LookupRoute {

    /** The time after which a lookup fails. */
    private static final Duration LOOKUP_TIMEOUT = Duration.ofSeconds(10);

    /** The loop of the decision core, which performs the lookup. */
    private final DecisionLoop loop;

    /** Supplies the active configuration. */
    private final Supplier<FleetConfiguration> configuration;

    /** The threads that write answers. */
    private final Scheduler writers;

    /**
     * Creates a new route.
     *
     * @param loop The loop of the decision core, which performs the lookup.
     * @param configuration Supplies the active configuration.
     * @param writers The threads that write answers.
     */
    LookupRoute(DecisionLoop loop, Supplier<FleetConfiguration> configuration, Scheduler writers) {
        this.loop = loop;
        this.configuration = configuration;
        this.writers = writers;
    }

    /**
     * Answers with the outcome of a request.
     *
     * @param context The HTTP request.
     */
    void handle(Context context) {
        AuthenticatedCaller caller = CallerAuthentication.authenticate(context, configuration.get());
        RequestId id = EntryHeaders.id(context.pathParam("id"));
        CompletableFuture<Outcome> found = new CompletableFuture<>();
        Disposable subscription = loop.effects(RequestEffect.LookedUp.class)
                .filter(effect -> effect.id().equals(id))
                .map(RequestEffect.LookedUp::outcome)
                .first(new Outcome.Unknown("stopped", "The node stopped."))
                .timeout(LOOKUP_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .onErrorReturnItem(new Outcome.Unknown("no-answer", "The search took too long."))
                .observeOn(writers)
                .subscribe(found::complete, found::completeExceptionally);
        loop.accept(new RequestEvent.LookupArrived(id, caller.name()));
        context.future(() -> found.thenAccept(outcome -> context.header(EntryHeaders.REQUEST_ID, id.value())
                        .contentType(AnswerWriter.JSON)
                        .result(EntryJson.write(document(id, outcome))))
                .whenComplete((_result, _failure) -> subscription.dispose()));
    }

    /**
     * Creates the document of an outcome.
     *
     * @param id The identifier of the request.
     * @param outcome The outcome.
     * @return The document.
     */
    private static ObjectNode document(RequestId id, Outcome outcome) {
        ObjectNode document = EntryJson.object().put("requestId", id.value());
        if (outcome instanceof Outcome.Answered answered) {
            return document.put("state", "answered")
                    .put("ran", ErrorDocument.Ran.YES.text())
                    .put("status", answered.status())
                    .put("contentType", answered.contentType())
                    .put("body", answered.body().toUtf8());
        }
        OutcomeStatus status = OutcomeStatus.of(outcome);
        return document.put("state", state(outcome))
                .put("ran", status.ran().text())
                .put("code", status.code())
                .put("message", status.message());
    }

    /**
     * Returns the state of a request without an answer.
     *
     * @param outcome The outcome.
     * @return The state.
     */
    private static String state(Outcome outcome) {
        if (outcome instanceof Outcome.NotRun) {
            return "not-run";
        }
        return outcome instanceof Outcome.FailedAfterSend ? "failed" : "unknown";
    }
}
