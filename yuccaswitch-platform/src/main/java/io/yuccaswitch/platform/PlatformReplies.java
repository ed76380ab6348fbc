package io.yuccaswitch.platform;

import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import java.io.IOException;
import java.util.List;
import java.util.Optional;

/** Converts replies of the object API to the events that answer calls. */
final class PlatformReplies {

    /** The status of success. */
    private static final int OK = 200;

    /** The status of a read of an object that does not exist. */
    private static final int NOT_FOUND = 404;

    /** The status of a write whose condition was not met. */
    private static final int CONFLICT = 409;

    /** The status of a watch from a version that is no longer in the platform's history. */
    private static final int GONE = 410;

    /** The status of a call that exceeds a rate limit. */
    private static final int TOO_MANY_REQUESTS = 429;

    /** The lowest status of a client error, after which a write has no effect. */
    private static final int LOWEST_CLIENT_ERROR = 400;

    /** The lowest status of a server error. */
    private static final int LOWEST_SERVER_ERROR = 500;

    /** The status of a call that timed out at the platform, after which a write may have taken effect. */
    private static final int REQUEST_TIMEOUT = 408;

    /** The divisor that yields the class of a status. */
    private static final int STATUS_CLASS_SIZE = 100;

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
     * Converts a reply to the result of an attempt.
     *
     * @param dialect The dialect that decodes answers.
     * @param effect The call.
     * @param reply The reply.
     * @return The result.
     */
    static Attempt decode(ObjectApiDialect dialect, PlatformEffect effect, Reply reply) {
        boolean changes = changes(effect);
        if (reply instanceof Reply.Failed failed) {
            return Attempt.unavailable(effect.token(), changes && failed.sent(), failed.reason(), Outcome.FAILED);
        }
        if (reply instanceof Reply.Oversized) {
            return oversized(effect);
        }
        Reply.Answered answer = (Reply.Answered) reply;
        Optional<Attempt> rejection = rejection(dialect, effect, answer.status());
        if (rejection.isPresent()) {
            return rejection.get();
        }
        try {
            return decodeAnswer(dialect, effect, answer);
        } catch (IOException | IllegalArgumentException exception) {
            return Attempt.unavailable(
                    effect.token(), changes, "undecodable answer: " + LogText.reason(exception), Outcome.UNREADABLE);
        }
    }

    /**
     * Returns the result for an answer that exceeds the maximum size. The changes since a version may do so together
     * although each object is within its limits. They are never read then, so all objects are to be listed instead,
     * which takes several answers.
     *
     * @param effect The call.
     * @return The result.
     */
    private static Attempt oversized(PlatformEffect effect) {
        if (effect instanceof PlatformEffect.Watch watch) {
            return new Attempt(
                    new PlatformEvent.ObjectsListed(watch.token(), List.of(), watch.afterVersion(), true),
                    Outcome.ANSWERED);
        }
        return Attempt.unavailable(
                effect.token(), changes(effect), "answer exceeds the maximum size", Outcome.UNREADABLE);
    }

    /**
     * Returns the result for an answer that rejects a call or reports a failure.
     *
     * @param dialect The dialect, which interprets server errors.
     * @param effect The call.
     * @param status The HTTP status.
     * @return The result, or empty if the answer is neither a rejection nor a failure.
     */
    private static Optional<Attempt> rejection(ObjectApiDialect dialect, PlatformEffect effect, int status) {
        boolean changes = changes(effect);
        if (status / STATUS_CLASS_SIZE == OK / STATUS_CLASS_SIZE
                || (status == CONFLICT && changes)
                || (status == NOT_FOUND && effect instanceof PlatformEffect.Read)
                || (status == GONE && effect instanceof PlatformEffect.Watch)) {
            return Optional.empty();
        }
        String reason = "status " + status;
        if (status == TOO_MANY_REQUESTS) {
            return Optional.of(Attempt.unavailable(effect.token(), false, reason, Outcome.RATE_LIMITED));
        }
        if (status >= LOWEST_CLIENT_ERROR && status < LOWEST_SERVER_ERROR && status != REQUEST_TIMEOUT) {
            return Optional.of(Attempt.unavailable(effect.token(), false, reason, Outcome.REJECTED));
        }
        boolean maybeApplied = changes && !dialect.guaranteesNotApplied(status);
        return Optional.of(Attempt.unavailable(effect.token(), maybeApplied, reason, Outcome.FAILED));
    }

    /**
     * Decodes an answer that is neither a rejection nor a failure.
     *
     * @param dialect The dialect that decodes answers.
     * @param effect The call.
     * @param answer The answer.
     * @return The result.
     * @throws IOException If the answer cannot be decoded.
     */
    private static Attempt decodeAnswer(ObjectApiDialect dialect, PlatformEffect effect, Reply.Answered answer)
            throws IOException {
        PlatformEvent event =
                dialect.event(effect, new ObjectApiDialect.Answer(answer.status(), answer.version(), answer.body()));
        return new Attempt(event, answer.status() == CONFLICT ? Outcome.CONFLICT : Outcome.ANSWERED);
    }
}
