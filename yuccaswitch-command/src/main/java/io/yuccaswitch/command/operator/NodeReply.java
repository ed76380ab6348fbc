package io.yuccaswitch.command.operator;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The answer of a node.
 *
 * @param node The node's name.
 * @param address The node's address for operators.
 * @param kind What became of the call.
 * @param body The body of the answer.
 * @param detail The status of HTTP, or why there is none.
 */
public record NodeReply(String node, String address, ReplyKind kind, JsonNode body, String detail) {

    /**
     * Returns whether the node did what it was asked to.
     *
     * @return {@code true} if it did.
     */
    public boolean isDone() {
        return kind == ReplyKind.DONE;
    }

    /**
     * Describes the answer of a node that did not do what it was asked to.
     *
     * @return The node and what became of the call.
     */
    public String describeFailure() {
        String what =
                switch (kind) {
                    case DONE -> "answered";
                    case REFUSED ->
                        "refused (" + detail + "): " + body.path("message").asText(body.asText());
                    case NOT_REACHED -> "cannot be reached: " + detail;
                    case NO_ANSWER -> "gave no answer: " + detail;
                };
        return node + " at " + address + " " + what;
    }
}
