package io.yuccaswitch.core.platform;

import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Follows all objects of one kind at the platform: lists them once, then waits for changes with one call at a time, and
 * lists anew when the platform no longer knows the changes in between.
 */
public final class KindWatch {

    /** The first wait after a failed call. A node has to be back soon after the platform is. */
    private static final Duration FIRST_BACK_OFF = Duration.ofMillis(150);

    /** The longest wait after failed calls, well below the time in which changes have to be in force. */
    private static final Duration LONGEST_BACK_OFF = Duration.ofMillis(600);

    /** How late an answer may come before the platform counts as out of reach: a slow one answers within this time. */
    private static final Duration ALLOWED_DELAY = Duration.ofMillis(400);

    /** The kind of the objects. */
    private final String kind;

    /** The purpose of the calls. */
    private final PlatformPurpose purpose;

    /** The calls that wait for their answers. */
    private final PlatformCalls calls;

    /** The pause after an answer that gathers further changes into the next one, as each call has a price. */
    private final Duration gathering;

    /** The longest time for which the platform waits for changes before it answers that there are none. */
    private final Duration waitTime;

    /** When the next call may be made. */
    private final CallBackOff backOff = new CallBackOff(FIRST_BACK_OFF, LONGEST_BACK_OFF);

    /** The version up to which changes are known, or empty before the first list. */
    private OptionalLong version = OptionalLong.empty();

    /** Whether a call waits for its answer. */
    private boolean calling;

    /** When the latest call was sent. */
    private MonotonicTime sentAt = new MonotonicTime(Long.MIN_VALUE);

    /** Whether the latest answer came in time. */
    private boolean answeredInTime;

    /** When the latest answer came. */
    private MonotonicTime answeredAt = new MonotonicTime(Long.MIN_VALUE);

    /** How long the platform may hold the latest call, or empty if that lists all objects. */
    private Optional<Duration> held = Optional.empty();

    /** When the platform surely held nothing beyond what is known. */
    private Optional<MonotonicTime> confirmedAt = Optional.empty();

    /** What the answer of this tick brought. */
    private Optional<KindFeed.News> news = Optional.empty();

    /**
     * Creates a watch that knows nothing yet.
     *
     * @param kind The kind of the objects.
     * @param purpose The purpose of the calls.
     * @param tokens Hands out the tokens of calls.
     * @param gathering The pause after an answer that gathers further changes into the next one.
     * @param waitTime How long the platform waits for changes. A connection that has gone silent is noticed a short
     *     time after that.
     */
    public KindWatch(
            String kind, PlatformPurpose purpose, PlatformTokens tokens, Duration gathering, Duration waitTime) {
        this.kind = kind;
        this.purpose = purpose;
        this.gathering = gathering;
        this.waitTime = waitTime;
        calls = new PlatformCalls(tokens);
    }

    /**
     * Takes what arrived with a tick, and makes the next call when that is due.
     *
     * @param tick The tick.
     * @return What is new, if anything arrived.
     */
    public Optional<KindFeed.News> run(Tick tick) {
        Optional<KindFeed.News> answer = answer(tick);
        callIfDue(tick, waitTime);
        return answer;
    }

    /**
     * Takes the answer of a tick.
     *
     * @param tick The tick.
     * @return What is new, if an answer arrived.
     */
    public Optional<KindFeed.News> answer(Tick tick) {
        news = Optional.empty();
        calls.answer(tick);
        return news;
    }

    /**
     * Makes the next call if it is due and none waits for its answer.
     *
     * @param tick The tick.
     * @param longest How long the platform may wait for changes, if that is less than usual.
     */
    public void callIfDue(Tick tick, Duration longest) {
        if (calling || !backOff.allows(tick.now())) {
            return;
        }
        calling = true;
        sentAt = tick.now();
        Duration wait = longest.compareTo(waitTime) < 0 ? longest : waitTime;
        held = version.isEmpty() ? Optional.empty() : Optional.of(wait);
        calls.call(tick, this::nextCall, this::receive);
    }

    /**
     * Returns whether a call waits for its answer.
     *
     * @return {@code true} if it does.
     */
    public boolean isCalling() {
        return calling;
    }

    /**
     * Returns the version up to which changes are known.
     *
     * @return The version, or empty before the first list.
     */
    public OptionalLong version() {
        return version;
    }

    /**
     * Takes note that all changes up to a version became known otherwise, such that the next call goes on behind it.
     *
     * @param known The version.
     */
    public void goOnBehind(long known) {
        version = OptionalLong.of(known);
    }

    /**
     * Returns whether the platform answers, as far as can be known: the latest answer came in time, and neither the
     * answer to a call nor the next call is overdue. A path that is cut shows within the time that a call may wait, the
     * gathering and the allowed delay.
     *
     * @param now The present.
     * @return {@code true} if nothing speaks against it.
     */
    public boolean isInContact(MonotonicTime now) {
        MonotonicTime begun = calling ? sentAt : answeredAt;
        return answeredInTime && now.since(begun).compareTo(waitTime.plus(ALLOWED_DELAY)) <= 0;
    }

    /**
     * Returns the latest time at which the platform surely held nothing beyond what this watch has brought.
     *
     * @return The time, or empty before the first list.
     */
    public Optional<MonotonicTime> confirmedAt() {
        return confirmedAt;
    }

    /**
     * Takes note that the machine was suspended, such that its clock stood still meanwhile.
     *
     * @param gap How long it was.
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
        return held.isEmpty()
                ? new PlatformEffect.ListKind(token, purpose, kind)
                : new PlatformEffect.Watch(token, purpose, kind, version.orElseThrow(), held);
    }

    /**
     * Returns since when an answer holds: since its call was sent, as nobody tells how long it was on its way. A call
     * that the platform held for the whole time without a change holds until that time was over.
     *
     * @param listed The answer.
     * @param now The present.
     * @return The time.
     */
    private MonotonicTime confirmedBy(PlatformEvent.ObjectsListed listed, MonotonicTime now) {
        return held.filter(_wait -> listed.objects().isEmpty())
                .map(sentAt::plus)
                .filter(end -> !now.isBefore(end))
                .orElse(sentAt);
    }

    /**
     * Takes the answer of a call.
     *
     * @param tick The tick.
     * @param event The answer.
     */
    private void receive(Tick tick, PlatformEvent event) {
        calling = false;
        answeredAt = tick.now();
        answeredInTime = event instanceof PlatformEvent.ObjectsListed
                && tick.now().since(sentAt).compareTo(waitTime.plus(ALLOWED_DELAY)) <= 0;
        if (!(event instanceof PlatformEvent.ObjectsListed listed)) {
            backOff.failed(tick);
            return;
        }
        if (listed.reset()) {
            version = OptionalLong.empty();
            backOff.succeeded(tick.now(), Duration.ZERO);
            return;
        }
        confirmedAt = Optional.of(confirmedBy(listed, tick.now()));
        news = Optional.of(new KindFeed.News(listed.objects(), held.isEmpty()));
        version = OptionalLong.of(listed.version());
        backOff.succeeded(tick.now(), listed.objects().isEmpty() ? Duration.ZERO : gathering);
    }
}
