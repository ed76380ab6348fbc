package io.yuccaswitch.core.watch;

import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.platform.CallBackoff;
import io.yuccaswitch.core.platform.KindFeed;
import io.yuccaswitch.core.platform.ObjectFilter;
import io.yuccaswitch.core.platform.PlatformCalls;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.PlatformPurpose;
import io.yuccaswitch.core.platform.PlatformTokens;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Optional;

/**
 * Confirms this node's state of a kind with one short call to the platform, independent of all other calls. This alone
 * bounds the age of the state: however many nodes and network paths fail one after the other, a node that reaches the
 * platform receives changes in time.
 */
final class KindConfirmation {

    /** How long the platform may hold the call: hardly at all, as the call is to be answered immediately. */
    private static final Duration MINIMUM_WAIT = Duration.ofMillis(1);

    /**
     * How late an answer may arrive before the platform is considered unreachable. A slow platform answers within this
     * time.
     */
    private static final Duration ALLOWED_DELAY = Duration.ofMillis(400);

    /**
     * How long a failed call marks the platform as unreachable: until the next call was made and has been evaluated.
     */
    private static final Duration FAILURE_VALIDITY = Duration.ofMillis(2500);

    /** The time between two ticks of an idle node, by which a call may be made or evaluated late. */
    private static final Duration IDLE_TICK_INTERVAL = Duration.ofMillis(100);

    /**
     * The longest delay of the next call after a failure, such that it is evaluated while the failure is still valid.
     */
    private static final Duration BACKOFF =
            FAILURE_VALIDITY.minus(ALLOWED_DELAY).minus(IDLE_TICK_INTERVAL.multipliedBy(2));

    /**
     * The maximum time between two ticks that counts as waiting. A node that was paused for longer did not wait
     * meanwhile.
     */
    private static final Duration MAXIMUM_STEP = Duration.ofMillis(200);

    /** The kind. */
    private final String kind;

    /** The purpose of the calls. */
    private final PlatformPurpose purpose;

    /** Selects the objects that are listed. */
    private final ObjectFilter filter;

    /** The calls that wait for their answers. */
    private final PlatformCalls calls;

    /**
     * Delays calls after a failure. Calls for changes have a backoff of their own, as their failures must not delay
     * this call.
     */
    private final CallBackoff backoff = new CallBackoff(BACKOFF, BACKOFF);

    /** Whether a call waits for its answer. */
    private boolean calling;

    /** When the latest call was sent. */
    private MonotonicTime sentAt = new MonotonicTime(Long.MIN_VALUE / 2);

    /** How long this node has waited for the answer, without the time for which it was paused. */
    private Duration waited = Duration.ZERO;

    /** When this node last checked for an answer. */
    private Optional<MonotonicTime> checkedAt = Optional.empty();

    /** When the latest call failed, or empty if it succeeded. */
    private Optional<MonotonicTime> failedAt = Optional.empty();

    /**
     * Whether the platform no longer retains the changes since this node's version, such that all objects have to be
     * listed.
     */
    private boolean relistNeeded;

    /** The answer that was received in this tick. */
    private Optional<Answer> answer = Optional.empty();

    /**
     * Creates a confirmation that has made no call.
     *
     * @param kind The kind.
     * @param purpose The purpose of the calls.
     * @param filter Selects the objects that are listed.
     * @param tokens Allocates the tokens of calls.
     */
    KindConfirmation(String kind, PlatformPurpose purpose, ObjectFilter filter, PlatformTokens tokens) {
        this.kind = kind;
        this.purpose = purpose;
        this.filter = filter;
        calls = new PlatformCalls(tokens);
    }

    /**
     * Processes the answer to the call if it arrived with a tick.
     *
     * @param tick The tick.
     * @return The answer, or empty if none arrived or it holds no objects or changes.
     */
    Optional<Answer> receive(Tick tick) {
        Duration step = checkedAt.map(tick.now()::since).orElse(Duration.ZERO);
        waited = waited.plus(step.compareTo(MAXIMUM_STEP) < 0 ? step : MAXIMUM_STEP);
        checkedAt = Optional.of(tick.now());
        answer = Optional.empty();
        calls.processAnswers(tick);
        return answer;
    }

    /**
     * Calls the platform, unless a call is pending or has failed a short time ago.
     *
     * @param tick The tick.
     * @param version The version up to which this node's state is complete.
     */
    void request(Tick tick, long version) {
        if (calling || !backoff.allows(tick.now())) {
            return;
        }
        calling = true;
        sentAt = tick.now();
        waited = Duration.ZERO;
        boolean lists = relistNeeded;
        calls.call(
                tick,
                token -> lists
                        ? new PlatformEffect.ListKind(token, purpose, kind).withFilter(filter)
                        : new PlatformEffect.Watch(token, purpose, kind, version, Optional.of(MINIMUM_WAIT)),
                (later, event) -> receive(later, event, version, lists));
    }

    /**
     * Returns whether the platform is unreachable.
     *
     * @param now The current time.
     * @return {@code true} if the latest call failed a short time ago, or its answer is overdue.
     */
    boolean isPlatformUnreachable(MonotonicTime now) {
        boolean failed = failedAt.filter(at -> now.since(at).compareTo(FAILURE_VALIDITY) < 0)
                .isPresent();
        return failed || (calling && waited.compareTo(ALLOWED_DELAY) > 0);
    }

    /**
     * Adjusts all times after the VM was suspended, while its clock stopped.
     *
     * @param gap How long the VM was suspended.
     */
    void suspended(Duration gap) {
        sentAt = sentAt.plus(gap.negated());
        failedAt = failedAt.map(at -> at.plus(gap.negated()));
    }

    /**
     * Processes the answer to a call.
     *
     * @param tick The tick.
     * @param event The answer.
     * @param version The version up to which this node's state was complete when the call was made.
     * @param lists Whether the call listed all objects.
     */
    private void receive(Tick tick, PlatformEvent event, long version, boolean lists) {
        calling = false;
        if (!(event instanceof PlatformEvent.ObjectsListed listed)) {
            failedAt = Optional.of(tick.now());
            backoff.failed(tick);
            return;
        }
        failedAt = Optional.empty();
        backoff.succeeded(tick.now(), Duration.ZERO);
        relistNeeded = listed.reset();
        if (!relistNeeded) {
            answer = Optional.of(
                    new Answer(new KindFeed.Changes(listed.objects(), lists), version, listed.version(), sentAt));
        }
    }

    /**
     * The platform's answer.
     *
     * @param changes All objects, or the changed ones.
     * @param afterVersion The version after which the objects changed.
     * @param upTo The version up to which this update is complete.
     * @param confirmedAt When the call was sent, which is the time as of which the answer is guaranteed to be complete.
     */
    record Answer(KindFeed.Changes changes, long afterVersion, long upTo, MonotonicTime confirmedAt) {}
}
