package io.yuccaswitch.core.endpoint;

/** The codes of failed attempts that the endpoint client sets and other systems evaluate. */
public final class FailureCodes {

    /** The connection to the endpoint could not be established, so no byte was sent. */
    public static final String CONNECT_FAILED = "connect-failed";

    /** The attempt was cancelled, either before or after its first byte was sent. */
    public static final String CANCELLED = "cancelled";

    /** The deadline passed. */
    public static final String DEADLINE_EXCEEDED = "deadline-exceeded";

    /** The connection broke after bytes were sent, or the answer was incomplete. */
    public static final String CONNECTION_LOST = "connection-lost";

    /** The answer carried the identifier of another request. */
    public static final String CROSSED_ANSWER = "crossed-answer";

    /** The answer carried no request identifier. */
    public static final String UNIDENTIFIED_ANSWER = "unidentified-answer";

    /** The answer exceeded the maximum size. */
    public static final String ANSWER_TOO_LARGE = "answer-too-large";

    /** The answer could not be parsed or was inconsistent. */
    public static final String MALFORMED_ANSWER = "malformed-answer";

    /** The endpoint refused the request because it is leaving. */
    public static final String LEAVING = "leaving";

    /** The endpoint refused the request because its queue is full. */
    public static final String OVERLOADED = "overloaded";

    /** This class has no instances. */
    private FailureCodes() {}
}
