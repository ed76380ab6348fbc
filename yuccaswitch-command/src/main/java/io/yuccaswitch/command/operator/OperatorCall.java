package io.yuccaswitch.command.operator;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A call to the operators' interface of a node.
 *
 * @param method The method of HTTP.
 * @param path The segments of the path.
 * @param body The document to send, or empty for none.
 */
public record OperatorCall(String method, List<String> path, Optional<Object> body) {

    /** Asks for the status document. */
    public static final OperatorCall STATUS = new OperatorCall("GET", List.of("status"), Optional.empty());

    /** Asks for the requests under which endpoints ended. */
    public static final OperatorCall QUARANTINE = new OperatorCall("GET", List.of("quarantine"), Optional.empty());

    /** Begins a planned stop. */
    public static final OperatorCall DRAIN = new OperatorCall("POST", List.of("drain"), Optional.of(Map.of()));

    /** Copies the path. */
    public OperatorCall {
        path = List.copyOf(path);
    }

    /**
     * Asks for the decisions on a subject.
     *
     * @param subject The identifier of the subject.
     * @return The call.
     */
    public static OperatorCall explain(String subject) {
        return new OperatorCall("GET", List.of("explain", subject), Optional.empty());
    }

    /**
     * Lets a request go under which endpoints ended.
     *
     * @param fingerprint The request's fingerprint.
     * @return The call.
     */
    public static OperatorCall releaseQuarantined(String fingerprint) {
        return new OperatorCall("DELETE", List.of("quarantine", fingerprint), Optional.empty());
    }

    /**
     * Changes the level of a logger.
     *
     * @param logger The name of the logger.
     * @param level The level.
     * @return The call.
     */
    public static OperatorCall logLevel(String logger, String level) {
        return new OperatorCall("PUT", List.of("log-levels"), Optional.of(Map.of(logger, level)));
    }
}
