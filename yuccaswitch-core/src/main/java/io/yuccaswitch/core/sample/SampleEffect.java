package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.decision.Effect;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** An answer to a trainer. */
public sealed interface SampleEffect extends Effect {

    /**
     * Returns the token of the event that is answered.
     *
     * @return The token.
     */
    long token();

    /**
     * Answers {@link SampleEvent.Submitted}.
     *
     * @param token The token of the submission.
     * @param accepted The identities of the accepted groups, which all of their holders have confirmed.
     * @param refused The refused groups with their reasons.
     */
    record AnswerSubmission(long token, List<GroupKey> accepted, List<RefusedGroup> refused) implements SampleEffect {}

    /**
     * Answers {@link SampleEvent.PullRequested}.
     *
     * @param token The token of the pull.
     * @param result The result of the pull.
     */
    record AnswerPull(long token, PullResult result) implements SampleEffect {}

    /**
     * A group that was not accepted.
     *
     * @param key The identity of the group.
     * @param code The code of the reason.
     * @param definitelyNotRun {@code true} if no node holds the group, {@code false} if one may.
     * @param retryAfter The time after which the trainer may retry, or empty if a retry is useless.
     */
    record RefusedGroup(GroupKey key, String code, boolean definitelyNotRun, Optional<Duration> retryAfter) {}
}
