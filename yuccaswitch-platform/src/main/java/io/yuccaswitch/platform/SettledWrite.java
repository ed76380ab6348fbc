package io.yuccaswitch.platform;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.Schedulers;
import io.yuccaswitch.core.platform.ObjectKey;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.PlatformPurpose;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.value.Bytes;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Writes an object and determines whether the write took effect, even if its answer was lost.
 *
 * <p>The value must contain an identifier that no other write uses. If it is unknown whether an attempt took effect,
 * the object is read. If it contains the identifier, the write took effect. If the object has a later version without
 * the identifier, no copy of the write that is still in flight can take effect. If the version is unchanged, the same
 * write is sent again with the same condition, so that at most one of the copies takes effect.
 */
public final class SettledWrite {

    /** The token of all calls. It need not be unique, since each answer is returned to its own call. */
    private static final long TOKEN = 0;

    /** The maximum number of calls. */
    private static final int MAXIMUM_CALLS = 12;

    /** The backoff between calls. */
    private static final FullJitterBackoff BACKOFF =
            new FullJitterBackoff(Duration.ofMillis(100), Duration.ofSeconds(2), () -> ThreadLocalRandom.current()
                    .nextLong());

    /** The client. */
    private final PlatformClient client;

    /** The write. */
    private final PlatformEffect.Write write;

    /** Tests whether a value contains the write's identifier. */
    private final Predicate<Bytes> hasIdentifier;

    /**
     * Creates a write without sending it.
     *
     * @param client The client.
     * @param purpose The purpose of the calls.
     * @param key The key of the object.
     * @param expectedVersion The version that the object must have, or empty if it must not exist.
     * @param value The value to write, which contains the identifier.
     * @param hasIdentifier Tests whether a value contains the write's identifier, either as its own or as that of an
     *     earlier write.
     */
    public SettledWrite(
            PlatformClient client,
            PlatformPurpose purpose,
            ObjectKey key,
            OptionalLong expectedVersion,
            Bytes value,
            Predicate<Bytes> hasIdentifier) {
        this.client = client;
        this.hasIdentifier = hasIdentifier;
        write = new PlatformEffect.Write(TOKEN, purpose, key, expectedVersion, value);
    }

    /**
     * Sends the write once the result is subscribed to, and determines its outcome.
     *
     * @return The outcome.
     */
    public Single<Outcome> execute() {
        return send(new Progress(1, false));
    }

    /**
     * Sends the write.
     *
     * @param progress The progress so far.
     * @return The outcome.
     */
    private Single<Outcome> send(Progress progress) {
        return client.execute(write).flatMap(event -> {
            if (event instanceof PlatformEvent.Accepted accepted) {
                return Single.just(new Outcome.Applied(accepted.version()));
            }
            if (event instanceof PlatformEvent.Conflict conflict) {
                return Single.just(evaluateConflict(conflict.current(), progress.maybeApplied()));
            }
            PlatformEvent.Unavailable unavailable = (PlatformEvent.Unavailable) event;
            Progress next = progress.withAttempt(unavailable.maybeApplied());
            return next.maybeApplied()
                    ? continueAfterDelay(next, unavailable, this::read)
                    : continueAfterDelay(next, unavailable, this::send);
        });
    }

    /**
     * Reads the object after an attempt whose effect is unknown.
     *
     * @param progress The progress so far.
     * @return The outcome.
     */
    private Single<Outcome> read(Progress progress) {
        return client.execute(new PlatformEffect.Read(TOKEN, write.purpose(), write.key()))
                .flatMap(event -> {
                    if (event instanceof PlatformEvent.ObjectRead read) {
                        return evaluateRead(read.object(), progress);
                    }
                    return continueAfterDelay(
                            progress.withAttempt(false), (PlatformEvent.Unavailable) event, this::read);
                });
    }

    /**
     * Evaluates the object after an attempt whose effect is unknown. A lagging replica may return an older state than
     * the expected one, which is as inconclusive as the expected state itself. For a write that creates an object, such
     * a state may even be an object that has been deleted, so that only the condition of a further write can determine
     * the outcome.
     *
     * @param object The object that was read, or empty if it does not exist.
     * @param progress The progress so far.
     * @return The outcome.
     */
    private Single<Outcome> evaluateRead(Optional<StoredObject> object, Progress progress) {
        if (object.isPresent() && hasIdentifier.test(object.get().value())) {
            return Single.just(new Outcome.Applied(object.get().version()));
        }
        boolean hasLaterVersion = object.isPresent()
                && write.expectedVersion().isPresent()
                && object.get().version() > write.expectedVersion().getAsLong();
        return hasLaterVersion ? Single.just(new Outcome.Superseded(object)) : send(progress);
    }

    /**
     * Evaluates a rejected write.
     *
     * @param current The current object, or empty if it does not exist.
     * @param maybeApplied Whether an earlier attempt may have taken effect.
     * @return The outcome.
     */
    private Outcome evaluateConflict(Optional<StoredObject> current, boolean maybeApplied) {
        if (current.isPresent() && hasIdentifier.test(current.get().value())) {
            return new Outcome.Applied(current.get().version());
        }
        return maybeApplied ? new Outcome.Superseded(current) : new Outcome.Rejected(current);
    }

    /**
     * Continues after a delay, or ends if the maximum number of calls is reached.
     *
     * @param progress The progress so far.
     * @param unavailable The last answer.
     * @param step The next step.
     * @return The outcome.
     */
    private static Single<Outcome> continueAfterDelay(
            Progress progress, PlatformEvent.Unavailable unavailable, Step step) {
        if (progress.calls() > MAXIMUM_CALLS) {
            return Single.just(new Outcome.Unresolved(progress.maybeApplied(), unavailable.reason()));
        }
        long delayNanos = BACKOFF.delayAfter(progress.calls()).toNanos();
        return Single.timer(delayNanos, TimeUnit.NANOSECONDS, Schedulers.computation())
                .flatMap(_waited -> step.run(progress));
    }

    /** A step of the write. */
    @FunctionalInterface
    private interface Step {

        /**
         * Runs the step.
         *
         * @param progress The progress so far.
         * @return The outcome.
         */
        Single<Outcome> run(Progress progress);
    }

    /**
     * The progress of a write.
     *
     * @param calls The number of the next call, starting at one.
     * @param maybeApplied Whether an earlier attempt may have taken effect.
     */
    private record Progress(int calls, boolean maybeApplied) {

        /**
         * Counts a call without a usable answer.
         *
         * @param maybeAppliedNow Whether the call may have taken effect.
         * @return The updated progress.
         */
        private Progress withAttempt(boolean maybeAppliedNow) {
            return new Progress(calls + 1, maybeApplied || maybeAppliedNow);
        }
    }

    /** The outcome of a write. */
    public sealed interface Outcome {

        /**
         * The write took effect.
         *
         * @param version The version of the object that contains the identifier.
         */
        record Applied(long version) implements Outcome {}

        /**
         * The write did not and will not take effect.
         *
         * @param current The current object, or empty if it does not exist.
         */
        record Rejected(Optional<StoredObject> current) implements Outcome {}

        /**
         * The object has a later version that does not contain the identifier. Either the write never took effect, or
         * it did and was replaced by a write that does not contain its identifier. It can no longer take effect.
         *
         * @param current The current object, or empty if it does not exist.
         */
        record Superseded(Optional<StoredObject> current) implements Outcome {}

        /**
         * The platform did not answer within the maximum number of calls.
         *
         * @param maybeApplied {@code true} if the write may have taken effect or may still do so, {@code false} if it
         *     definitely did not and will not.
         * @param reason The reason, for operators.
         */
        record Unresolved(boolean maybeApplied, String reason) implements Outcome {}
    }
}
