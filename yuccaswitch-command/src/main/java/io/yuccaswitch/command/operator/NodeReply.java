package io.yuccaswitch.command.operator;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The answer of a node.
 *
 * @param node The node's name.
 * @param address The operator address of the node.
 * @param kind The outcome of the call.
 * @param body The body of the answer.
 * @param detail The HTTP status, or the reason why there is none.
 */
public record NodeReply(String node, String address, ReplyKind kind, JsonNode body, String detail) {

    /**
     * Returns whether the node carried out the call.
     *
     * @return {@code true} if the call succeeded.
     */
    public boolean isDone() {
        return kind == ReplyKind.DONE;
    }

    /**
     * Describes the failure of a call.
     *
     * @return The node and the outcome of the call.
     */
    public String describeFailure() {
        String outcome =
                switch (kind) {
                    case DONE -> "answered";
                    case REFUSED ->
                        "refused (" + detail + "): " + body.path("message").asText(body.asText());
                    case NOT_REACHED -> "cannot be reached: " + detail;
                    case NO_ANSWER -> "gave no answer: " + detail;
                };
        return node + " at " + address + " " + outcome;
    }
}
