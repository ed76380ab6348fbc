package io.yuccaswitch.testkit.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.yuccaswitch.testkit.check.Observation.AttemptEnd;
import java.io.IOException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import okhttp3.Response;
import okio.BufferedSource;

/** Reads answers, and checks whether they are complete and belong to their requests. */
final class AnswerReader {

    /** The mapper of answers. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** The format of a token in the text of an engine stand-in. */
    private static final Pattern TOKEN = Pattern.compile("t(\\d+)v\\d+");

    /** The prefix of a server-sent event. */
    private static final String EVENT_PREFIX = "data:";

    /** The data of the event that ends a stream. */
    private static final String DONE = "[DONE]";

    /** This class has no instances. */
    private AnswerReader() {}

    /**
     * Reads an answer.
     *
     * @param kind The kind of the request.
     * @param id The identifier of the request.
     * @param response The answer.
     * @return The result of reading the answer.
     * @throws IOException If the answer is truncated.
     */
    static Reading read(LoadMix.Kind kind, String id, Response response) throws IOException {
        boolean own = id.equals(response.header("X-Request-Id"));
        String contentType = response.header("Content-Type", "");
        if (response.isSuccessful() && contentType.startsWith("text/event-stream")) {
            return readStream(own, response.body().source());
        }
        String text = response.body().string();
        JsonNode body = decode(text);
        JsonNode ran = body.path("error").path("ran");
        if (!response.isSuccessful() && ran.isTextual()) {
            AttemptEnd end = ran.asText().equals("no") ? AttemptEnd.NOT_RUN : AttemptEnd.MAY_HAVE_RUN;
            return new Reading(end, own, true, response.code() + " " + text);
        }
        boolean complete = kind.target() == LoadMix.Target.SERVICE
                ? !body.isMissingNode() && namesNoOtherRequest(body, id)
                : isCompletionComplete(body);
        return new Reading(AttemptEnd.ANSWERED, own, complete, response.code() + " " + text);
    }

    /**
     * Reads a stream of server-sent events.
     *
     * @param own Whether the header of the answer carries the identifier of the request.
     * @param source The stream.
     * @return The result of reading the answer.
     * @throws IOException If the connection breaks.
     */
    private static Reading readStream(boolean own, BufferedSource source) throws IOException {
        StringBuilder text = new StringBuilder();
        String finish = "";
        while (true) {
            String line = source.readUtf8Line();
            if (line == null) {
                return new Reading(AttemptEnd.CUT, own, false, "stream ended before its [DONE] event");
            }
            if (!line.startsWith(EVENT_PREFIX)) {
                continue;
            }
            String data = line.substring(EVENT_PREFIX.length()).strip();
            if (data.equals(DONE)) {
                boolean complete = countTokensInOrder(text.toString()) > 0 && !finish.isEmpty();
                return new Reading(AttemptEnd.ANSWERED, own, complete, text.toString());
            }
            JsonNode event = decode(data);
            if (event.has("error")) {
                return new Reading(AttemptEnd.CUT, own, false, data);
            }
            text.append(event.path("choices").path(0).path("text").asText(""));
            finish = event.path("choices").path(0).path("finish_reason").asText(finish);
        }
    }

    /**
     * Returns whether the body of a plain service is free of the identifier of another request.
     *
     * @param body The answer.
     * @param id The identifier of the request.
     * @return {@code true} if the body names this request or none.
     */
    private static boolean namesNoOtherRequest(JsonNode body, String id) {
        return body.path("requestId").asText(id).equals(id);
    }

    /**
     * Returns whether a completion contains all tokens that it reports, and a finish reason.
     *
     * @param body The answer.
     * @return {@code true} if the completion is complete.
     */
    private static boolean isCompletionComplete(JsonNode body) {
        JsonNode choice = body.path("choices").path(0);
        int tokens = countTokensInOrder(choice.path("text").asText(""));
        return tokens > 0
                && tokens == body.path("usage").path("completion_tokens").asInt(tokens)
                && !choice.path("finish_reason").asText("").isEmpty();
    }

    /**
     * Counts the tokens of a text.
     *
     * @param text The text.
     * @return The number of tokens, or minus one if one is missing, repeated or out of order.
     */
    private static int countTokensInOrder(String text) {
        int index = 0;
        Matcher matcher = TOKEN.matcher(text);
        while (matcher.find()) {
            if (Integer.parseInt(matcher.group(1)) != index) {
                return -1;
            }
            index++;
        }
        return index;
    }

    /**
     * Decodes a JSON document.
     *
     * @param text The document.
     * @return The document, or a missing node if it is malformed.
     */
    private static JsonNode decode(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException _exception) {
            return MissingNode.getInstance();
        }
    }

    /**
     * The result of reading an answer.
     *
     * @param end How the attempt ended.
     * @param own Whether the answer belongs to the request.
     * @param complete Whether the answer is complete.
     * @param detail The answer or error, for diagnosis.
     */
    record Reading(AttemptEnd end, boolean own, boolean complete, String detail) {

        /** The maximum number of characters of the detail. */
        private static final int MAXIMUM_DETAIL_CHARACTERS = 300;

        /**
         * Truncates the detail.
         *
         * @param end How the attempt ended.
         * @param own Whether the answer belongs to the request.
         * @param complete Whether the answer is complete.
         * @param detail The answer or error, for diagnosis.
         */
        Reading {
            detail = detail.length() > MAXIMUM_DETAIL_CHARACTERS
                    ? detail.substring(0, MAXIMUM_DETAIL_CHARACTERS)
                    : detail;
        }

        /**
         * Creates the result of an attempt without an answer.
         *
         * @param end How the attempt ended.
         * @param exception The error.
         * @return The result.
         */
        static Reading withoutAnswer(AttemptEnd end, IOException exception) {
            return new Reading(end, false, false, exception.toString());
        }
    }
}
