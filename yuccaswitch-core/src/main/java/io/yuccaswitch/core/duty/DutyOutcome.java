package io.yuccaswitch.core.duty;

/** The outcome of a call that carries out a duty. */
public enum DutyOutcome {
    /** The call took effect, or an earlier one already had the same effect. */
    DONE,
    /** The call was rejected; a retry of the same call can't succeed. */
    REJECTED,
    /** The requested resource is currently unavailable. */
    EXHAUSTED,
    /** It is unknown whether the call took effect, or the call has to be retried later. */
    UNANSWERED
}
