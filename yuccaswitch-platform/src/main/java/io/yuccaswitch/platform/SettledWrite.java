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
 * Writes an object and finds out whether the write took effect, also when its answer was lost.
 *
 * <p>The value must contain an identifier that no other write ever uses. If it is unknown whether an attempt took
 * effect, the object is read. If it bears the identifier, the write took effect. If the object's version has moved on
 * without it, no copy of the write that is still on its way can take effect any longer. If the version has not moved,
 * the same write is sent again under the same condition, such that at most one of the copies takes effect.
 */
public final class SettledWrite {

    /** The token of the calls, whose answers are not told apart by it. */
    private static final long TOKEN = 0;

    /** The largest number of calls. */
    private static final int MAXIMUM_CALLS = 12;

    /** The waits between calls. */
    private static final FullJitterBackoff BACKOFF =
            new FullJitterBackoff(Duration.ofMillis(100), Duration.ofSeconds(2), () -> ThreadLocalRandom.current()
                    .nextLong());

    /** The client. */
    private final PlatformClient client;

    /** The write. */
    private final PlatformEffect.Write write;

    /** Recognises a value that bears the write's identifier. */
    private final Predicate<Bytes> bearsIdentifier;

    /**
     * Creates a write that is not sent yet.
     *
     * @param client The client.
     * @param purpose The purpose of the calls.
     * @param key The key of the object.
     * @param expectedVersion The version that the object must have, or empty if it must not exist.
     * @param value The value to write, which contains the identifier.
     * @param bearsIdentifier Recognises a value that bears the write's identifier, either as its own or as the one of a
     *     write before it.
     */
    public SettledWrite(
            PlatformClient client,
            PlatformPurpose purpose,
            ObjectKey key,
            OptionalLong expectedVersion,
            Bytes value,
            Predicate<Bytes> bearsIdentifier) {
        this.client = client;
        this.bearsIdentifier = bearsIdentifier;
        write = new PlatformEffect.Write(TOKEN, purpose, key, expectedVersion, value);
    }

    /**
     * Sends the write once the result is subscribed to, and settles it.
     *
     * @return The outcome.
     */
    public Single<Outcome> execute() {
        return send(new Progress(1, false));
    }

    /**
     * Sends the write.
     *
     * @param progress What is known so far.
     * @return The outcome.
     */
    private Single<Outcome> send(Progress progress) {
        return client.execute(write).flatMap(event -> {
            if (event instanceof PlatformEvent.Accepted accepted) {
                return Single.just(new Outcome.Applied(accepted.version()));
            }
            if (event instanceof PlatformEvent.Conflict conflict) {
                return Single.just(conflicting(conflict.current(), progress.maybeApplied()));
            }
            PlatformEvent.Unavailable unavailable = (PlatformEvent.Unavailable) event;
            Progress next = progress.withAttempt(unavailable.maybeApplied());
            return next.maybeApplied() ? later(next, unavailable, this::read) : later(next, unavailable, this::send);
        });
    }

    /**
     * Reads the object, after an attempt whose effect is unknown.
     *
     * @param progress What is known so far.
     * @return The outcome.
     */
    private Single<Outcome> read(Progress progress) {
        return client.execute(new PlatformEffect.Read(TOKEN, write.purpose(), write.key()))
                .flatMap(event -> {
                    if (event instanceof PlatformEvent.ObjectRead read) {
                        return seen(read.object(), progress);
                    }
                    return later(progress.withAttempt(false), (PlatformEvent.Unavailable) event, this::read);
                });
    }

    /**
     * Judges the object after an attempt whose effect is unknown. A replica that lags behind may return an older state
     * than the expected one, which says as little as the expected one itself. For a write that creates an object, such
     * a state may even be an object that was deleted before, so that only the condition of a further write can tell.
     *
     * @param object The object that was read, or empty if it does not exist.
     * @param progress What is known so far.
     * @return The outcome.
     */
    private Single<Outcome> seen(Optional<StoredObject> object, Progress progress) {
        if (object.isPresent() && bearsIdentifier.test(object.get().value())) {
            return Single.just(new Outcome.Applied(object.get().version()));
        }
        boolean movedOn = object.isPresent()
                && write.expectedVersion().isPresent()
                && object.get().version() > write.expectedVersion().getAsLong();
        return movedOn ? Single.just(new Outcome.Overtaken(object)) : send(progress);
    }

    /**
     * Judges a refused write.
     *
     * @param current The object as it is, or empty if it does not exist.
     * @param maybeApplied Whether an earlier attempt may have taken effect.
     * @return The outcome.
     */
    private Outcome conflicting(Optional<StoredObject> current, boolean maybeApplied) {
        if (current.isPresent() && bearsIdentifier.test(current.get().value())) {
            return new Outcome.Applied(current.get().version());
        }
        return maybeApplied ? new Outcome.Overtaken(current) : new Outcome.Refused(current);
    }

    /**
     * Goes on after a wait, or gives up.
     *
     * @param progress What is known so far.
     * @param unavailable The last answer.
     * @param step The step to go on with.
     * @return The outcome.
     */
    private static Single<Outcome> later(Progress progress, PlatformEvent.Unavailable unavailable, Step step) {
        if (progress.calls() > MAXIMUM_CALLS) {
            return Single.just(new Outcome.Unsettled(progress.maybeApplied(), unavailable.reason()));
        }
        long wait = BACKOFF.wait(progress.calls()).toNanos();
        return Single.timer(wait, TimeUnit.NANOSECONDS, Schedulers.computation())
                .flatMap(_waited -> step.run(progress));
    }

    /** A step of settling a write. */
    @FunctionalInterface
    private interface Step {

        /**
         * Makes the step.
         *
         * @param progress What is known so far.
         * @return The outcome.
         */
        Single<Outcome> run(Progress progress);
    }

    /**
     * What is known of a write so far.
     *
     * @param calls The number of the next call, from one.
     * @param maybeApplied Whether an attempt may have taken effect.
     */
    private record Progress(int calls, boolean maybeApplied) {

        /**
         * Counts a call without a usable answer.
         *
         * @param maybeAppliedNow Whether the call may have taken effect.
         * @return What is known then.
         */
        private Progress withAttempt(boolean maybeAppliedNow) {
            return new Progress(calls + 1, maybeApplied || maybeAppliedNow);
        }
    }

    /** What became of a write. */
    public sealed interface Outcome {

        /**
         * The write took effect.
         *
         * @param version The version of the object that bears the identifier.
         */
        record Applied(long version) implements Outcome {}

        /**
         * The write did not take effect, and never will.
         *
         * @param current The object as it is, or empty if it does not exist.
         */
        record Refused(Optional<StoredObject> current) implements Outcome {}

        /**
         * The object has moved on and does not bear the identifier. Either the write never took effect, or it did and
         * was replaced since by a write that does not name it. It can no longer take effect.
         *
         * @param current The object as it is, or empty if it does not exist.
         */
        record Overtaken(Optional<StoredObject> current) implements Outcome {}

        /**
         * The platform did not answer for too long.
         *
         * @param maybeApplied {@code true} if the write may have taken effect or may still do so, {@code false} if it
         *     surely did not and will not.
         * @param reason The reason, for operators.
         */
        record Unsettled(boolean maybeApplied, String reason) implements Outcome {}
    }
}
