package io.yuccaswitch.node.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.javalin.http.Context;
import io.javalin.http.HttpStatus;
import io.yuccaswitch.core.quarantine.CrashEvidence;
import io.yuccaswitch.core.quarantine.QuarantineEffect;
import io.yuccaswitch.core.quarantine.QuarantineEvent;
import io.yuccaswitch.core.quarantine.QuarantineView;
import io.yuccaswitch.core.quarantine.RequestFingerprint;
import io.yuccaswitch.core.quarantine.Suspect;
import io.yuccaswitch.node.decision.DecisionLoop;
import io.yuccaswitch.node.decision.EventSink;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Lists the requests during which endpoints ended, and lets operators release a request from quarantine. */
public final class QuarantineRoutes {

    /** The path of the list, and the prefix of the paths of single requests. */
    public static final String PATH = "/quarantine";

    /** The writer of documents. */
    private final ObjectMapper mapper = new ObjectMapper();

    /** Receives the events of operators. */
    private final EventSink events;

    /** The latest view of the quarantine. */
    private volatile QuarantineView view = QuarantineView.EMPTY;

    /**
     * Creates routes that are connected to the core.
     *
     * @param loop The loop of the decision core.
     */
    @SuppressWarnings("CheckReturnValue")
    public QuarantineRoutes(DecisionLoop loop) {
        events = loop;
        loop.effects(QuarantineEffect.Changed.class).subscribe(effect -> view = effect.view());
    }

    /**
     * Answers with the requests in descending order of the number of endpoints that ended.
     *
     * @param context The HTTP request.
     */
    public void list(Context context) {
        List<Entry> entries = view.entries().values().stream()
                .sorted(Comparator.comparing(entry -> -entry.suspect().count()))
                .map(Entry::of)
                .toList();
        write(context, new Document(entries));
    }

    /**
     * Releases a request at all nodes.
     *
     * @param context The HTTP request.
     * @param text The request's fingerprint.
     */
    public void release(Context context, String text) {
        Optional<RequestFingerprint> fingerprint = RequestFingerprint.parse(text);
        boolean listed = fingerprint.flatMap(view::find).isPresent();
        if (!listed) {
            context.status(HttpStatus.NOT_FOUND);
            write(context, new Failure("unknown-request", "The quarantine has no request " + text + "."));
            return;
        }
        events.accept(new QuarantineEvent.Released(fingerprint.get()));
        context.status(HttpStatus.ACCEPTED);
        write(context, new Document(List.of()));
    }

    /**
     * Writes a document as the answer.
     *
     * @param context The HTTP request.
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
     * The list of requests.
     *
     * @param requests The requests.
     */
    private record Document(List<Entry> requests) {}

    /**
     * An error answer.
     *
     * @param code The code of the error.
     * @param message The explanation.
     */
    private record Failure(String code, String message) {}

    /**
     * A request.
     *
     * @param fingerprint The fingerprint that identifies the request.
     * @param request The method, host and path.
     * @param held Whether the request is held in quarantine.
     * @param endedEndpoints The number of endpoints that definitely ended while they ran the request.
     * @param since The time at which the first of them ended.
     * @param heldUntil The time until which the request is held, or an empty text.
     * @param endpoints The endpoints that ended.
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
         * @param entry The entry of the request.
         * @return The description.
         */
        static Entry of(QuarantineView.Entry entry) {
            Suspect suspect = entry.suspect();
            return new Entry(
                    suspect.fingerprint().toString(),
                    suspect.description(),
                    entry.isHeld(),
                    suspect.count(),
                    Instant.ofEpochMilli(suspect.crashEvidence().get(0).at()).toString(),
                    entry.isHeld() ? Instant.ofEpochMilli(entry.heldUntil()).toString() : "",
                    suspect.crashEvidence().stream()
                            .map(CrashEvidence::endpoint)
                            .map(Object::toString)
                            .toList());
        }
    }
}
