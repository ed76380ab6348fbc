package io.yuccaswitch.core.watch;

import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.platform.CallBackOff;
import io.yuccaswitch.core.platform.KindFeed;
import io.yuccaswitch.core.platform.PlatformCalls;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.PlatformPurpose;
import io.yuccaswitch.core.platform.PlatformTokens;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Optional;

/**
 * Asks the platform, in one short call beside all others, whether what a node knows of a kind still holds. It bounds
 * the age of that by itself: however many nodes and paths fail one after the other, a node that reaches the platform
 * learns what is so in time.
 */
final class KindConfirmation {

    /** How long the platform may hold the call, which is to be answered at once. */
    private static final Duration NO_WAIT = Duration.ofMillis(1);

    /** How late the answer may come before the platform counts as away: a slow one answers within this time. */
    private static final Duration ALLOWED_DELAY = Duration.ofMillis(400);

    /** For how long a failed call tells that the platform is unavailable: until the next one is made and judged. */
    private static final Duration FAILURE_VALIDITY = Duration.ofMillis(2500);

    /** The time between two ticks of an idle node, by which a call may be made and judged later. */
    private static final Duration TICK_TIME = Duration.ofMillis(100);

    /** The longest wait before the next call after a failure, such that it is judged while the failure is valid. */
    private static final Duration BACK_OFF =
            FAILURE_VALIDITY.minus(ALLOWED_DELAY).minus(TICK_TIME.multipliedBy(2));

    /** How much of the time between two looks counts as waiting. A node that stood still for longer did not wait. */
    private static final Duration LONGEST_STEP = Duration.ofMillis(200);

    /** The kind. */
    private final String kind;

    /** The purpose of the calls. */
    private final PlatformPurpose purpose;

    /** The calls that wait for their answers. */
    private final PlatformCalls calls;

    /** When the next call may be made. Calls for changes have another, as their failures must not delay this one. */
    private final CallBackOff backOff = new CallBackOff(BACK_OFF, BACK_OFF);

    /** Whether a call waits for its answer. */
    private boolean calling;

    /** When the latest call was sent. */
    private MonotonicTime sentAt = new MonotonicTime(Long.MIN_VALUE / 2);

    /** How long the call has been waited for while this node ran. */
    private Duration waited = Duration.ZERO;

    /** When this node last looked for an answer. */
    private Optional<MonotonicTime> lookedAt = Optional.empty();

    /** When the latest call failed, if it did. */
    private Optional<MonotonicTime> failedAt = Optional.empty();

    /**
     * Whether the platform no longer knows the changes since what is known, such that all objects have to be listed.
     */
    private boolean forgotten;

    /** What the answer of this tick brought. */
    private Optional<Answer> answer = Optional.empty();

    /**
     * Creates a confirmation that was not asked for yet.
     *
     * @param kind The kind.
     * @param purpose The purpose of the calls.
     * @param tokens Hands out the tokens of calls.
     */
    KindConfirmation(String kind, PlatformPurpose purpose, PlatformTokens tokens) {
        this.kind = kind;
        this.purpose = purpose;
        calls = new PlatformCalls(tokens);
    }

    /**
     * Takes the answer of a tick.
     *
     * @param tick The tick.
     * @return The answer, if one arrived that tells what is so.
     */
    Optional<Answer> receive(Tick tick) {
        Duration step = lookedAt.map(tick.now()::since).orElse(Duration.ZERO);
        waited = waited.plus(step.compareTo(LONGEST_STEP) < 0 ? step : LONGEST_STEP);
        lookedAt = Optional.of(tick.now());
        answer = Optional.empty();
        calls.answer(tick);
        return answer;
    }

    /**
     * Asks the platform, unless a call waits for its answer or has failed a short time ago.
     *
     * @param tick The tick.
     * @param version The version up to which changes are known.
     */
    void ask(Tick tick, long version) {
        if (calling || !backOff.allows(tick.now())) {
            return;
        }
        calling = true;
        sentAt = tick.now();
        waited = Duration.ZERO;
        boolean lists = forgotten;
        calls.call(
                tick,
                token -> lists
                        ? new PlatformEffect.ListKind(token, purpose, kind)
                        : new PlatformEffect.Watch(token, purpose, kind, version, Optional.of(NO_WAIT)),
                (then, event) -> receive(then, event, version, lists));
    }

    /**
     * Returns whether the platform does not answer.
     *
     * @param now The present.
     * @return {@code true} if the latest call failed a short time ago, or its answer is overdue.
     */
    boolean isPlatformAway(MonotonicTime now) {
        boolean failed = failedAt.filter(at -> now.since(at).compareTo(FAILURE_VALIDITY) < 0)
                .isPresent();
        return failed || (calling && waited.compareTo(ALLOWED_DELAY) > 0);
    }

    /**
     * Takes note that the machine was suspended, such that its clock stood still meanwhile.
     *
     * @param gap How long it was.
     */
    void suspended(Duration gap) {
        sentAt = sentAt.plus(gap.negated());
        failedAt = failedAt.map(at -> at.plus(gap.negated()));
    }

    /**
     * Takes the answer of a call.
     *
     * @param tick The tick.
     * @param event The answer.
     * @param version The version up to which changes were known.
     * @param lists Whether all objects were asked for.
     */
    private void receive(Tick tick, PlatformEvent event, long version, boolean lists) {
        calling = false;
        if (!(event instanceof PlatformEvent.ObjectsListed listed)) {
            failedAt = Optional.of(tick.now());
            backOff.failed(tick);
            return;
        }
        failedAt = Optional.empty();
        backOff.succeeded(tick.now(), Duration.ZERO);
        forgotten = listed.reset();
        if (!forgotten) {
            answer = Optional.of(
                    new Answer(new KindFeed.News(listed.objects(), lists), version, listed.version(), sentAt));
        }
    }

    /**
     * What the platform answered.
     *
     * @param news All objects, or those that changed.
     * @param behind The version behind which they changed.
     * @param upTo The version up to which changes are known with them.
     * @param confirmedAt When the call was sent, since when the answer holds.
     */
    record Answer(KindFeed.News news, long behind, long upTo, MonotonicTime confirmedAt) {}
}
