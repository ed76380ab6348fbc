package io.yuccaswitch.platform;

import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import java.io.IOException;
import java.util.Optional;

/** Turns replies of the object API into the events that answer calls. */
final class PlatformReplies {

    /** The status of success. */
    private static final int OK = 200;

    /** The status of a read of an object that does not exist. */
    private static final int NOT_FOUND = 404;

    /** The status of a write whose condition did not hold. */
    private static final int CONFLICT = 409;

    /** The status of a watch from a version that the platform no longer knows. */
    private static final int GONE = 410;

    /** The status of a call over a rate limit. */
    private static final int TOO_MANY_REQUESTS = 429;

    /** The lowest status of a refusal that leaves no effect. */
    private static final int CLIENT_ERROR = 400;

    /** The lowest status of a failure of the platform. */
    private static final int SERVER_ERROR = 500;

    /** The status of a call that the platform gave up, such that a write may have taken effect. */
    private static final int REQUEST_TIMEOUT = 408;

    /** What divides statuses into classes. */
    private static final int STATUS_CLASS = 100;

    /** This class has no instances. */
    private PlatformReplies() {}

    /**
     * Returns whether a call changes an object.
     *
     * @param effect The call.
     * @return {@code true} for writes and deletions.
     */
    static boolean changes(PlatformEffect effect) {
        return effect instanceof PlatformEffect.Write || effect instanceof PlatformEffect.Delete;
    }

    /**
     * Turns a reply into the result of an attempt.
     *
     * @param dialect How answers read.
     * @param effect The call.
     * @param reply The reply.
     * @return The result.
     */
    static Attempt decode(ObjectApiDialect dialect, PlatformEffect effect, Reply reply) {
        boolean changes = changes(effect);
        if (reply instanceof Reply.Failed failed) {
            return Attempt.unavailable(effect.token(), changes && failed.sent(), failed.reason(), Outcome.FAILED);
        }
        Reply.Answered answer = (Reply.Answered) reply;
        Optional<Attempt> refusal = refusal(dialect, effect, answer.status());
        if (refusal.isPresent()) {
            return refusal.get();
        }
        try {
            return answered(dialect, effect, answer);
        } catch (IOException | IllegalArgumentException exception) {
            return Attempt.unavailable(
                    effect.token(), changes, "undecodable answer: " + exception.getMessage(), Outcome.FAILED);
        }
    }

    /**
     * Recognises an answer that refuses a call.
     *
     * @param dialect What statuses promise.
     * @param effect The call.
     * @param status The HTTP status.
     * @return The result, or empty if the answer is none that refuses.
     */
    private static Optional<Attempt> refusal(ObjectApiDialect dialect, PlatformEffect effect, int status) {
        boolean changes = changes(effect);
        if (status / STATUS_CLASS == OK / STATUS_CLASS
                || (status == CONFLICT && changes)
                || (status == NOT_FOUND && effect instanceof PlatformEffect.Read)
                || (status == GONE && effect instanceof PlatformEffect.Watch)) {
            return Optional.empty();
        }
        String reason = "status " + status;
        if (status == TOO_MANY_REQUESTS) {
            return Optional.of(Attempt.unavailable(effect.token(), false, reason, Outcome.RATE_LIMITED));
        }
        if (status >= CLIENT_ERROR && status < SERVER_ERROR && status != REQUEST_TIMEOUT) {
            return Optional.of(Attempt.unavailable(effect.token(), false, reason, Outcome.REJECTED));
        }
        boolean maybeApplied = changes && !dialect.promisesUnapplied(status);
        return Optional.of(Attempt.unavailable(effect.token(), maybeApplied, reason, Outcome.FAILED));
    }

    /**
     * Decodes an answer that does not refuse a call.
     *
     * @param dialect How answers read.
     * @param effect The call.
     * @param answer The answer.
     * @return The result.
     * @throws IOException If the answer can't be decoded.
     */
    private static Attempt answered(ObjectApiDialect dialect, PlatformEffect effect, Reply.Answered answer)
            throws IOException {
        PlatformEvent event =
                dialect.event(effect, new ObjectApiDialect.Answer(answer.status(), answer.version(), answer.body()));
        return new Attempt(event, answer.status() == CONFLICT ? Outcome.CONFLICT : Outcome.ANSWERED);
    }
}
