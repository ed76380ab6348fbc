package io.yuccaswitch.node.entry;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.http.Context;
import io.yuccaswitch.core.request.Generation;
import io.yuccaswitch.core.request.Outcome;
import io.yuccaswitch.core.request.Request;
import io.yuccaswitch.node.entry.WaitingCallers.Signal;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Streams a generation to its caller as server-sent events. The status is sent with the first text, so that a request
 * that fails earlier gets a plain error answer. A later failure is reported by an error event, after which the stream
 * ends without its end marker. An instance belongs to one request and is used by one thread at a time.
 */
final class EventStreamWriter {

    /** The marker at the end of a complete stream. */
    private static final String END_MARKER = "data: [DONE]\n\n";

    /** The path of chat completions. */
    private static final String CHAT_PATH = "/v1/chat/completions";

    /** The HTTP status of a stream. */
    private static final int OK = 200;

    /** The request. */
    private final Request request;

    /** The HTTP request. */
    private final Context context;

    /** The name of the model, as the caller gave it. */
    private final String model;

    /** The number of characters that have been sent. */
    private int sentCharacters;

    /** The stream, or {@code null} before the first event. */
    private OutputStream output;

    /**
     * Creates a new writer.
     *
     * @param request The request.
     * @param context The HTTP request.
     */
    EventStreamWriter(Request request, Context context) {
        this.request = request;
        this.context = context;
        model = EntryJson.read(request.body().unsafeArray()).path("model").asText("");
    }

    /**
     * Handles the next signal about the request.
     *
     * @param signal The progress or the outcome.
     */
    void accept(Signal signal) {
        try {
            if (signal instanceof Signal.Progressed progressed) {
                sendText(progressed.generated());
            } else if (signal instanceof Signal.Concluded concluded) {
                conclude(concluded.outcome());
            }
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /**
     * Sends the text that has not been sent yet.
     *
     * @param generated The complete generation so far.
     * @throws IOException If the caller has disconnected.
     */
    private void sendText(Generation generated) throws IOException {
        if (generated.text().length() > sentCharacters) {
            sendEvent(chunk(generated.text().substring(sentCharacters), Optional.empty()));
            sentCharacters = generated.text().length();
        }
    }

    /**
     * Ends the stream.
     *
     * @param outcome The outcome.
     * @throws IOException If the caller has disconnected.
     */
    private void conclude(Outcome outcome) throws IOException {
        if (outcome instanceof Outcome.Answered answered
                && answered.generation().isPresent()) {
            Generation generation = answered.generation().get();
            sendText(generation);
            sendEvent(finalEvent(generation));
            write(END_MARKER);
            return;
        }
        if (output == null) {
            AnswerWriter.write(context, request.id(), outcome);
            return;
        }
        if (outcome instanceof Outcome.Answered) {
            sendEvent(EntryJson.object().put("error", "The answer to a stream was not a generation."));
            return;
        }
        sendEvent(AnswerWriter.document(request.id(), OutcomeStatus.of(outcome)));
    }

    /**
     * Creates the final event.
     *
     * @param generation The generation.
     * @return The event.
     */
    private ObjectNode finalEvent(Generation generation) {
        ObjectNode end = chunk("", Optional.of(generation.finishReason()));
        end.putObject("usage").put("completion_tokens", generation.tokens());
        ArrayNode segments = end.putArray("segments");
        for (Generation.Segment segment : generation.segments()) {
            ObjectNode node = segments.addObject().put("tokens", segment.tokens());
            if (segment.version() != Generation.Segment.UNKNOWN_VERSION) {
                node.put("version", segment.version());
            }
        }
        return end;
    }

    /**
     * Creates an event with text.
     *
     * @param text The text.
     * @param finishReason The reason for which the generation ended, or empty if it continues.
     * @return The event.
     */
    private ObjectNode chunk(String text, Optional<String> finishReason) {
        boolean chat = request.path().equals(CHAT_PATH);
        ObjectNode chunk = EntryJson.object()
                .put("id", request.id().value())
                .put("object", chat ? "chat.completion.chunk" : "text_completion")
                .put("model", model);
        ObjectNode choice = chunk.putArray("choices").addObject().put("index", 0);
        if (chat) {
            choice.putObject("delta").put("content", text);
        } else {
            choice.put("text", text);
        }
        choice.put("finish_reason", finishReason.orElse(null));
        return chunk;
    }

    /**
     * Sends an event.
     *
     * @param document The event's data.
     * @throws IOException If the caller has disconnected.
     */
    private void sendEvent(Object document) throws IOException {
        write("data: " + new String(EntryJson.write(document), StandardCharsets.UTF_8) + "\n\n");
    }

    /**
     * Sends text, preceded by the status and the headers if they have not been sent yet.
     *
     * @param text The text.
     * @throws IOException If the caller has disconnected.
     */
    private void write(String text) throws IOException {
        if (output == null) {
            context.status(OK)
                    .contentType("text/event-stream")
                    .header("Cache-Control", "no-cache")
                    .header(EntryHeaders.REQUEST_ID, request.id().value());
            output = context.res().getOutputStream();
        }
        output.write(text.getBytes(StandardCharsets.UTF_8));
        output.flush();
    }
}
