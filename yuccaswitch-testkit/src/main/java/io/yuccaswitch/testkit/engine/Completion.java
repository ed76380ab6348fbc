package io.yuccaswitch.testkit.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.yuccaswitch.testkit.engine.Run.Token;
import io.yuccaswitch.testkit.http.Answer;
import io.yuccaswitch.testkit.http.Json;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Writes the output of a run as an OpenAI-style answer, either streamed or as a single document. */
final class Completion {

    /** The status of an answer. */
    private static final int OK = 200;

    /** The run. */
    private final Run run;

    /** Whether the answer is a chat completion. */
    private final boolean chat;

    /** Whether the answer reports weight versions. */
    private final boolean reported;

    /** The finish reason that the answer reports. */
    private final String finishReason;

    /**
     * Creates a writer.
     *
     * @param run The run.
     * @param chat Whether the answer is a chat completion.
     * @param reported Whether the answer reports weight versions.
     * @param finishReason The finish reason that the answer reports.
     */
    Completion(Run run, boolean chat, boolean reported, String finishReason) {
        this.run = run;
        this.chat = chat;
        this.reported = reported;
        this.finishReason = finishReason;
    }

    /**
     * Streams the text as server-sent events during generation.
     *
     * @param answer The answer to write.
     * @throws IOException If the connection is broken.
     * @throws InterruptedException If the server is stopped in the meantime.
     */
    void stream(Answer answer) throws IOException, InterruptedException {
        answer.begin(OK, "text/event-stream");
        List<Token> tokens = nextTokens();
        while (!tokens.isEmpty()) {
            event(answer, Json.write(chunk(answer, tokens)));
            tokens = nextTokens();
        }
        if (run.cancelled()) {
            answer.closeConnection();
            return;
        }
        event(answer, Json.write(ending(answer)));
        event(answer, "[DONE]");
        answer.end();
    }

    /**
     * Writes the complete text after generation has ended.
     *
     * @param answer The answer to write.
     * @throws IOException If the connection is broken.
     * @throws InterruptedException If the server is stopped in the meantime.
     */
    void writeComplete(Answer answer) throws IOException, InterruptedException {
        StringBuilder text = new StringBuilder();
        List<Token> tokens = nextTokens();
        while (!tokens.isEmpty()) {
            tokens.forEach(token -> text.append(token.text()));
            tokens = nextTokens();
        }
        if (run.cancelled()) {
            answer.closeConnection();
            return;
        }
        ObjectNode body = ending(answer);
        ObjectNode choice = (ObjectNode) body.path("choices").get(0);
        if (chat) {
            choice.remove("delta");
            choice.putObject("message").put("role", "assistant").put("content", text.toString());
        } else {
            choice.put("text", text.toString());
        }
        answer.json(OK, body);
    }

    /**
     * Waits for tokens and removes consecutive available tokens of the same weight version from the output.
     *
     * @return The tokens, or an empty list at the end of the text.
     * @throws InterruptedException If the server is stopped in the meantime.
     */
    private List<Token> nextTokens() throws InterruptedException {
        List<Token> tokens = new ArrayList<>();
        Token first = run.output().take();
        if (first.index() < 0) {
            return tokens;
        }
        tokens.add(first);
        Token next = run.output().peek();
        while (next != null && next.index() >= 0 && next.version() == first.version()) {
            tokens.add(run.output().remove());
            next = run.output().peek();
        }
        return tokens;
    }

    /**
     * Creates the event for a list of tokens.
     *
     * @param answer The answer that the event belongs to.
     * @param tokens The tokens.
     * @return The event.
     */
    private ObjectNode chunk(Answer answer, List<Token> tokens) {
        StringBuilder text = new StringBuilder();
        tokens.forEach(token -> text.append(token.text()));
        ObjectNode body = body(answer, text.toString());
        body.put("tokens", tokens.size());
        if (reported) {
            body.put("version", tokens.get(0).version());
        }
        return body;
    }

    /**
     * Creates the final event.
     *
     * @param answer The answer that the event belongs to.
     * @return The event.
     */
    private ObjectNode ending(Answer answer) {
        ObjectNode body = body(answer, "");
        ((ObjectNode) body.path("choices").get(0)).put("finish_reason", finishReason);
        List<Segment> segments = run.segments();
        int tokens = segments.stream().mapToInt(Segment::tokens).sum();
        body.putObject("usage").put("prompt_tokens", run.prompt().tokens()).put("completion_tokens", tokens);
        if (reported) {
            ArrayNode list = body.putArray("segments");
            segments.forEach(segment ->
                    list.addObject().put("version", segment.version()).put("tokens", segment.tokens()));
        }
        return body;
    }

    /**
     * Creates the fields that all events have in common.
     *
     * @param answer The answer that the event belongs to.
     * @param text The text of the event.
     * @return The event.
     */
    private ObjectNode body(Answer answer, String text) {
        ObjectNode body = Json.object();
        body.put("id", answer.requestId());
        body.put("object", chat ? "chat.completion.chunk" : "text_completion");
        body.put("model", run.model());
        ObjectNode choice = body.putArray("choices").addObject().put("index", 0);
        if (chat) {
            choice.putObject("delta").put("content", text);
        } else {
            choice.put("text", text);
        }
        choice.putNull("finish_reason");
        return body;
    }

    /**
     * Writes a server-sent event.
     *
     * @param answer The answer to write.
     * @param data The data of the event.
     * @throws IOException If the connection is broken.
     */
    private static void event(Answer answer, String data) throws IOException {
        answer.write(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns whether a request asks for a streamed answer.
     *
     * @param body The body of the request.
     * @return {@code true} if the answer must be streamed.
     */
    static boolean streaming(JsonNode body) {
        return body.path("stream").asBoolean(false);
    }
}
