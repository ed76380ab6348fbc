package io.yuccaswitch.core.platform;

import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Follows all objects of one kind at the platform: lists them once, then waits for changes with one call at a time, and
 * lists them again when the platform no longer retains the changes in between.
 */
public final class KindWatch {

    /** The first delay after a failed call. A node has to be up to date again soon after the platform is reachable. */
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(150);

    /** The maximum delay after failed calls, well below the time within which changes have to be applied. */
    private static final Duration MAXIMUM_BACKOFF = Duration.ofMillis(600);

    /**
     * How late an answer may arrive before the platform is considered unreachable. A slow platform answers within this
     * time.
     */
    private static final Duration ALLOWED_DELAY = Duration.ofMillis(400);

    /** The kind of the objects. */
    private final String kind;

    /** The purpose of the calls. */
    private final PlatformPurpose purpose;

    /** Selects the objects that are listed. */
    private final ObjectFilter filter;

    /** The calls that wait for their answers. */
    private final PlatformCalls calls;

    /** The delay after an answer, which batches further changes into the next one, as each call loads the platform. */
    private final Duration batchingDelay;

    /** How long the platform may hold a call before it answers that there are no changes. */
    private final Duration watchTimeout;

    /** When the next call may be made. */
    private final CallBackoff backoff = new CallBackoff(INITIAL_BACKOFF, MAXIMUM_BACKOFF);

    /** The version up to which this watch has received all changes, or empty before the first list. */
    private OptionalLong version = OptionalLong.empty();

    /** Whether a call waits for its answer. */
    private boolean calling;

    /** When the latest call was sent. */
    private MonotonicTime sentAt = new MonotonicTime(Long.MIN_VALUE);

    /** Whether the latest answer arrived in time. */
    private boolean answeredInTime;

    /** When the latest answer arrived. */
    private MonotonicTime answeredAt = new MonotonicTime(Long.MIN_VALUE);

    /** How long the platform may hold the latest call, or empty if that lists all objects. */
    private Optional<Duration> holdTime = Optional.empty();

    /** The latest time as of which the received objects are guaranteed to be complete. */
    private Optional<MonotonicTime> confirmedAt = Optional.empty();

    /** The changes that were received in this tick. */
    private Optional<KindFeed.Changes> changes = Optional.empty();

    /**
     * Creates a watch of all objects that has received none.
     *
     * @param kind The kind of the objects.
     * @param purpose The purpose of the calls.
     * @param tokens Allocates the tokens of calls.
     * @param batchingDelay The delay after an answer, which batches further changes into the next one.
     * @param watchTimeout How long the platform may hold a call to wait for changes.
     */
    public KindWatch(
            String kind,
            PlatformPurpose purpose,
            PlatformTokens tokens,
            Duration batchingDelay,
            Duration watchTimeout) {
        this(kind, purpose, ObjectFilter.ALL, tokens, batchingDelay, watchTimeout);
    }

    /**
     * Creates a watch that has received no objects.
     *
     * @param kind The kind of the objects.
     * @param purpose The purpose of the calls.
     * @param filter Selects the objects that are listed. Changes are received for all objects.
     * @param tokens Allocates the tokens of calls.
     * @param batchingDelay The delay after an answer, which batches further changes into the next one.
     * @param watchTimeout How long the platform may hold a call to wait for changes. A broken connection is detected a
     *     short time after that.
     */
    public KindWatch(
            String kind,
            PlatformPurpose purpose,
            ObjectFilter filter,
            PlatformTokens tokens,
            Duration batchingDelay,
            Duration watchTimeout) {
        this.kind = kind;
        this.purpose = purpose;
        this.filter = filter;
        this.batchingDelay = batchingDelay;
        this.watchTimeout = watchTimeout;
        calls = new PlatformCalls(tokens);
    }

    /**
     * Processes the answer of a tick, and makes the next call when that is due.
     *
     * @param tick The tick.
     * @return The changes, if an answer arrived.
     */
    public Optional<KindFeed.Changes> run(Tick tick) {
        Optional<KindFeed.Changes> answer = receive(tick);
        callIfDue(tick, watchTimeout);
        return answer;
    }

    /**
     * Processes the answer of a tick.
     *
     * @param tick The tick.
     * @return The changes, if an answer arrived.
     */
    public Optional<KindFeed.Changes> receive(Tick tick) {
        changes = Optional.empty();
        calls.processAnswers(tick);
        return changes;
    }

    /**
     * Makes the next call if it is due and none is pending.
     *
     * @param tick The tick.
     * @param maximum How long the platform may hold the call, if that is less than usual.
     */
    public void callIfDue(Tick tick, Duration maximum) {
        if (calling || !backoff.allows(tick.now())) {
            return;
        }
        calling = true;
        sentAt = tick.now();
        Duration wait = maximum.compareTo(watchTimeout) < 0 ? maximum : watchTimeout;
        holdTime = version.isEmpty() ? Optional.empty() : Optional.of(wait);
        calls.call(tick, this::nextCall, this::receive);
    }

    /**
     * Returns whether a call is pending.
     *
     * @return {@code true} if one is.
     */
    public boolean isCalling() {
        return calling;
    }

    /**
     * Returns the version up to which this watch has received all changes.
     *
     * @return The version, or empty before the first list.
     */
    public OptionalLong version() {
        return version;
    }

    /**
     * Records that all changes up to a version were received on another path, such that the next call resumes after it.
     *
     * @param afterVersion The version.
     */
    public void resumeAfter(long afterVersion) {
        version = OptionalLong.of(afterVersion);
    }

    /**
     * Returns whether the platform is considered reachable: the latest answer arrived in time, and neither the answer
     * to a call nor the next call is overdue. A network partition is detected within the time for which a call may be
     * held, plus the batching delay and the allowed delay.
     *
     * @param now The current time.
     * @return {@code true} unless one of these indicates otherwise.
     */
    public boolean isInContact(MonotonicTime now) {
        MonotonicTime startedAt = calling ? sentAt : answeredAt;
        return answeredInTime && now.since(startedAt).compareTo(watchTimeout.plus(ALLOWED_DELAY)) <= 0;
    }

    /**
     * Returns the latest time as of which the received objects are guaranteed to be complete.
     *
     * @return The time, or empty before the first list.
     */
    public Optional<MonotonicTime> confirmedAt() {
        return confirmedAt;
    }

    /**
     * Adjusts all times after the VM was suspended, while its clock stopped.
     *
     * @param gap How long the VM was suspended.
     */
    public void suspended(Duration gap) {
        sentAt = sentAt.plus(gap.negated());
        confirmedAt = confirmedAt.map(at -> at.plus(gap.negated()));
    }

    /**
     * Builds the next call.
     *
     * @param token The call's token.
     * @return A list before the first answer, else a watch.
     */
    private PlatformEffect nextCall(long token) {
        return holdTime.isEmpty()
                ? new PlatformEffect.ListKind(token, purpose, kind).withFilter(filter)
                : new PlatformEffect.Watch(token, purpose, kind, version.orElseThrow(), holdTime);
    }

    /**
     * Returns the time as of which an answer is guaranteed to be complete: when its call was sent, as the time that the
     * answer took is unknown. A call that the platform held for the whole time without a change is complete as of the
     * end of that time.
     *
     * @param listed The answer.
     * @param now The current time.
     * @return The time.
     */
    private MonotonicTime confirmedBy(PlatformEvent.ObjectsListed listed, MonotonicTime now) {
        return holdTime.filter(_wait -> listed.objects().isEmpty())
                .map(sentAt::plus)
                .filter(end -> !now.isBefore(end))
                .orElse(sentAt);
    }

    /**
     * Processes the answer to a call.
     *
     * @param tick The tick.
     * @param event The answer.
     */
    private void receive(Tick tick, PlatformEvent event) {
        calling = false;
        answeredAt = tick.now();
        answeredInTime = event instanceof PlatformEvent.ObjectsListed
                && tick.now().since(sentAt).compareTo(watchTimeout.plus(ALLOWED_DELAY)) <= 0;
        if (!(event instanceof PlatformEvent.ObjectsListed listed)) {
            backoff.failed(tick);
            return;
        }
        if (listed.reset()) {
            version = OptionalLong.empty();
            backoff.succeeded(tick.now(), Duration.ZERO);
            return;
        }
        confirmedAt = Optional.of(confirmedBy(listed, tick.now()));
        changes = Optional.of(new KindFeed.Changes(listed.objects(), holdTime.isEmpty()));
        version = OptionalLong.of(listed.version());
        backoff.succeeded(tick.now(), listed.objects().isEmpty() ? Duration.ZERO : batchingDelay);
    }
}
