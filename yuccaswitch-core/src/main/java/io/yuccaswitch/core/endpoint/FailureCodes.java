package io.yuccaswitch.core.endpoint;

/** The codes of failed attempts that the client of endpoints gives and other systems look at. */
public final class FailureCodes {

    /** No connection to the endpoint could be made, so no byte was sent. */
    public static final String CONNECT_FAILED = "connect-failed";

    /** The attempt was cancelled before its first byte was sent, or after. */
    public static final String CANCELLED = "cancelled";

    /** The deadline passed. */
    public static final String DEADLINE_EXCEEDED = "deadline-exceeded";

    /** The connection broke after bytes were sent, or the answer's end was not seen. */
    public static final String CONNECTION_LOST = "connection-lost";

    /** The answer bore another request's identifier. */
    public static final String CROSSED_ANSWER = "crossed-answer";

    /** The answer bore no identifier. */
    public static final String UNIDENTIFIED_ANSWER = "unidentified-answer";

    /** The answer was larger than what is accepted. */
    public static final String ANSWER_TOO_LARGE = "answer-too-large";

    /** The answer could not be understood, or contradicted itself. */
    public static final String MALFORMED_ANSWER = "malformed-answer";

    /** The endpoint refused the request because it is leaving. */
    public static final String LEAVING = "leaving";

    /** The endpoint refused the request because its queue is full. */
    public static final String OVERLOADED = "overloaded";

    /** This class has no instances. */
    private FailureCodes() {}
}
