package io.yuccaswitch.core.duty;

/** What became of a call on a duty. */
public enum DutyOutcome {
    /** The call took effect, now or before. */
    DONE,
    /** The call can't take effect as it is; sending it again does not help. */
    REJECTED,
    /** What the call asks for is not to be had at the moment. */
    EXHAUSTED,
    /** Nobody knows whether the call took effect, or it is to be sent later. */
    UNANSWERED
}
