package io.yuccaswitch.node.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.javalin.http.Context;
import io.javalin.http.HttpStatus;
import io.yuccaswitch.core.quarantine.QuarantineEffect;
import io.yuccaswitch.core.quarantine.QuarantineEvent;
import io.yuccaswitch.core.quarantine.QuarantineView;
import io.yuccaswitch.core.quarantine.RequestFingerprint;
import io.yuccaswitch.core.quarantine.Strike;
import io.yuccaswitch.core.quarantine.Suspect;
import io.yuccaswitch.node.decision.DecisionLoop;
import io.yuccaswitch.node.decision.EventSink;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Shows operators the requests under which endpoints ended, and lets them let a request go. */
public final class QuarantineRoutes {

    /** The path of the list, and what the path of one request begins with. */
    public static final String PATH = "/quarantine";

    /** The writer of documents. */
    private final ObjectMapper mapper = new ObjectMapper();

    /** Takes what operators want. */
    private final EventSink events;

    /** What is known. */
    private volatile QuarantineView view = QuarantineView.EMPTY;

    /**
     * Creates routes and connects them to the core.
     *
     * @param loop The core.
     */
    @SuppressWarnings("CheckReturnValue")
    public QuarantineRoutes(DecisionLoop loop) {
        events = loop;
        loop.effects(QuarantineEffect.Changed.class).subscribe(effect -> view = effect.view());
    }

    /**
     * Answers with the requests, those that ended most endpoints first.
     *
     * @param context The call.
     */
    public void list(Context context) {
        List<Entry> entries = view.entries().values().stream()
                .sorted(Comparator.comparing(entry -> -entry.suspect().count()))
                .map(Entry::of)
                .toList();
        write(context, new Document(entries));
    }

    /**
     * Lets a request go at all nodes.
     *
     * @param context The call.
     * @param text The request's fingerprint.
     */
    public void release(Context context, String text) {
        Optional<RequestFingerprint> fingerprint = RequestFingerprint.parse(text);
        boolean known = fingerprint.flatMap(view::find).isPresent();
        if (!known) {
            context.status(HttpStatus.NOT_FOUND);
            write(context, new Failure("unknown-request", "No endpoint ended under a request " + text + "."));
            return;
        }
        events.accept(new QuarantineEvent.Released(fingerprint.get()));
        context.status(HttpStatus.ACCEPTED);
        write(context, new Document(List.of()));
    }

    /**
     * Writes a document as the answer.
     *
     * @param context The call.
     * @param document The document.
     */
    private void write(Context context, Object document) {
        try {
            context.contentType("application/json").result(mapper.writeValueAsBytes(document));
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("A document of the quarantine can't be written", exception);
        }
    }

    /**
     * The requests.
     *
     * @param requests The requests.
     */
    private record Document(List<Entry> requests) {}

    /**
     * An answer that something went wrong.
     *
     * @param code The code of the error.
     * @param message The explanation.
     */
    private record Failure(String code, String message) {}

    /**
     * One request.
     *
     * @param fingerprint What recognises it.
     * @param request The method, host and path.
     * @param held Whether it is held.
     * @param endedEndpoints How many endpoints surely ended under it.
     * @param since When the first did.
     * @param heldUntil Until when it is held, or an empty text.
     * @param endpoints The endpoints.
     */
    private record Entry(
            String fingerprint,
            String request,
            boolean held,
            int endedEndpoints,
            String since,
            String heldUntil,
            List<String> endpoints) {

        /**
         * Describes a request.
         *
         * @param entry What is known of it.
         * @return The description.
         */
        static Entry of(QuarantineView.Entry entry) {
            Suspect suspect = entry.suspect();
            return new Entry(
                    suspect.fingerprint().toString(),
                    suspect.description(),
                    entry.isHeld(),
                    suspect.count(),
                    Instant.ofEpochMilli(suspect.strikes().get(0).at()).toString(),
                    entry.isHeld() ? Instant.ofEpochMilli(entry.heldUntil()).toString() : "",
                    suspect.strikes().stream()
                            .map(Strike::endpoint)
                            .map(Object::toString)
                            .toList());
        }
    }
}
