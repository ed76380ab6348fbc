package io.yuccaswitch.endpoint;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.yuccaswitch.core.configuration.PoolKind;
import io.yuccaswitch.core.endpoint.FailureCodes;
import io.yuccaswitch.core.request.Generation;
import io.yuccaswitch.core.request.Generation.Segment;
import io.yuccaswitch.core.request.Request;
import io.yuccaswitch.core.value.Bytes;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Encodes and decodes the JSON documents that are exchanged with model engines, as described in docs/API.md. */
final class EngineProtocol {

    /** The path of text completions. */
    private static final String COMPLETIONS = "/v1/completions";

    /** The path of chat completions. */
    private static final String CHAT_COMPLETIONS = "/v1/chat/completions";

    /** The JSON key of the list of choices, of which only the first one is used. */
    private static final String CHOICES = "choices";

    /** This class has no instances. */
    private EngineProtocol() {}

    /**
     * Returns whether an engine generates text for a request.
     *
     * @param kind The kind of the endpoint's pool.
     * @param request The request.
     * @return {@code true} if the answer is a generation.
     */
    static boolean generates(PoolKind kind, Request request) {
        return kind == PoolKind.ENGINE
                && (request.path().equals(COMPLETIONS) || request.path().equals(CHAT_COMPLETIONS));
    }

    /**
     * Creates the body that is sent to the engine. It always requests a streamed answer, so that the text generated so
     * far is available if the engine crashes.
     *
     * @param request The request.
     * @param resumeFrom The generation of an earlier attempt to resume, or empty to start from the beginning.
     * @return The body.
     * @throws AnswerException If the request's body is not an object.
     */
    static Bytes body(Request request, Optional<Generation> resumeFrom) throws AnswerException {
        ObjectNode body = Json.parse(request.body());
        body.put("stream", true);
        resumeFrom.ifPresent(
                generation -> body.put("resumeText", generation.text()).put("resumeTokens", generation.tokens()));
        return Json.write(body);
    }

    /**
     * Parses an event of a stream, or a complete answer that is not streamed.
     *
     * @param content The event's data, or the body of the answer.
     * @return The chunk.
     * @throws AnswerException If the content is malformed.
     */
    static Chunk chunk(Bytes content) throws AnswerException {
        ObjectNode node = Json.parse(content);
        JsonNode choice = node.path(CHOICES).path(0);
        String text = text(choice);
        Optional<List<Segment>> segments = segments(node.path("segments"));
        return new Chunk(
                node.path("id").asText(),
                node.path("model").asText(),
                text,
                node.has("tokens") ? node.path("tokens").asInt() : inferTokenCount(node, text, segments),
                node.path("version").asLong(Segment.UNKNOWN_VERSION),
                Optional.ofNullable(choice.path("finish_reason").textValue()),
                segments);
    }

    /**
     * Creates the complete answer for the caller.
     *
     * @param request The request.
     * @param model The model that the engine reported.
     * @param generation The generation.
     * @return The body of the answer.
     */
    static Bytes answer(Request request, String model, Generation generation) {
        boolean chat = request.path().equals(CHAT_COMPLETIONS);
        ObjectNode body = Json.object()
                .put("id", request.id().value())
                .put("object", chat ? "chat.completion" : "text_completion")
                .put("model", model);
        ObjectNode choice = body.putArray(CHOICES).addObject().put("index", 0);
        if (chat) {
            choice.putObject("message").put("role", "assistant").put("content", generation.text());
        } else {
            choice.put("text", generation.text());
        }
        choice.put("finish_reason", generation.finishReason());
        body.putObject("usage").put("completion_tokens", generation.tokens());
        return Json.write(body);
    }

    /**
     * Derives the number of tokens of a part that does not state it explicitly.
     *
     * @param node The part.
     * @param text The text of the part.
     * @param segments The segments of the part.
     * @return The number of tokens.
     */
    private static int inferTokenCount(JsonNode node, String text, Optional<List<Segment>> segments) {
        if (text.isEmpty()) {
            return 0;
        }
        return segments.map(list -> list.stream().mapToInt(Segment::tokens).sum())
                .orElseGet(() -> node.path("usage").path("completion_tokens").asInt(1));
    }

    /**
     * Returns the text of a choice of a completion, a chat message or a streamed chat delta.
     *
     * @param choice The choice.
     * @return The text, which is empty if there is none.
     */
    private static String text(JsonNode choice) {
        String delta = choice.path("delta").path("content").asText("");
        String message = choice.path("message").path("content").asText("");
        return choice.path("text").asText("") + delta + message;
    }

    /**
     * Parses a list of segments.
     *
     * @param list The JSON list.
     * @return The segments, or empty if there is no list.
     * @throws AnswerException If a segment is malformed.
     */
    private static Optional<List<Segment>> segments(JsonNode list) throws AnswerException {
        if (!list.isArray()) {
            return Optional.empty();
        }
        List<Segment> segments = new ArrayList<>();
        for (JsonNode segment : list) {
            if (!segment.path("version").isIntegralNumber()
                    || segment.path("tokens").asInt(-1) < 0) {
                throw new AnswerException(FailureCodes.MALFORMED_ANSWER);
            }
            segments.add(new Segment(
                    segment.path("version").asLong(), segment.path("tokens").asInt()));
        }
        return Optional.of(segments);
    }

    /**
     * A part of an answer.
     *
     * @param id The identifier that the part carries.
     * @param model The name of the model or adapter.
     * @param text The text, which consists of complete tokens.
     * @param tokens The number of tokens.
     * @param version The weight version, or {@link Segment#UNKNOWN_VERSION}.
     * @param finishReason The reason why the engine stopped, present only in the final part.
     * @param segments The segments of the complete answer, which only the final part may contain.
     */
    record Chunk(
            String id,
            String model,
            String text,
            int tokens,
            long version,
            Optional<String> finishReason,
            Optional<List<Segment>> segments) {}
}
