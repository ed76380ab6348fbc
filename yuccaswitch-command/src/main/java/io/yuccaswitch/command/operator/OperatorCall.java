package io.yuccaswitch.command.operator;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A call to the operator interface of a node.
 *
 * @param method The HTTP method.
 * @param path The segments of the path.
 * @param body The document to send, or empty for none.
 */
public record OperatorCall(String method, List<String> path, Optional<Object> body) {

    /** Requests the status document. */
    public static final OperatorCall STATUS = new OperatorCall("GET", List.of("status"), Optional.empty());

    /** Requests the list of requests during which endpoints terminated. */
    public static final OperatorCall QUARANTINE = new OperatorCall("GET", List.of("quarantine"), Optional.empty());

    /** Starts a planned stop. */
    public static final OperatorCall DRAIN = new OperatorCall("POST", List.of("drain"), Optional.of(Map.of()));

    /** Copies the path. */
    public OperatorCall {
        path = List.copyOf(path);
    }

    /**
     * Requests the decisions on a subject.
     *
     * @param subject The identifier of the subject.
     * @return The call.
     */
    public static OperatorCall explain(String subject) {
        return new OperatorCall("GET", List.of("explain", subject), Optional.empty());
    }

    /**
     * Releases a quarantined request, during which endpoints terminated.
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
