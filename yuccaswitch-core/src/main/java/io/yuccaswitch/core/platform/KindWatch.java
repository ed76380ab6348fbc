package io.yuccaswitch.core.platform;

import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Follows all objects of one kind: lists them once, then waits for changes with one call at a time, and lists anew when
 * the platform no longer knows the changes in between.
 */
public final class KindWatch {

    /** The first wait after a failed call. A node has to be back soon after the platform is. */
    private static final Duration FIRST_BACK_OFF = Duration.ofMillis(150);

    /** The longest wait after failed calls, well below the time in which changes have to be in force. */
    private static final Duration LONGEST_BACK_OFF = Duration.ofMillis(600);

    /** The kind of the objects. */
    private final String kind;

    /** The purpose of the calls. */
    private final PlatformPurpose purpose;

    /** The calls that wait for their answers. */
    private final PlatformCalls calls;

    /** The pause after an answer that gathers further changes into the next one, as each call has a price. */
    private final Duration gathering;

    /** When the next call may be made. */
    private final CallBackOff backOff = new CallBackOff(FIRST_BACK_OFF, LONGEST_BACK_OFF);

    /** The version up to which changes are known, or empty before the first list. */
    private OptionalLong version = OptionalLong.empty();

    /** Whether a call waits for its answer. */
    private boolean calling;

    /** When a call last failed. */
    private Optional<MonotonicTime> failedAt = Optional.empty();

    /** What the answer of this tick brought. */
    private Optional<News> news = Optional.empty();

    /**
     * Creates a watch that knows nothing yet.
     *
     * @param kind The kind of the objects.
     * @param purpose The purpose of the calls.
     * @param tokens Hands out the tokens of calls.
     * @param gathering The pause after an answer that gathers further changes into the next one.
     */
    public KindWatch(String kind, PlatformPurpose purpose, PlatformTokens tokens, Duration gathering) {
        this.kind = kind;
        this.purpose = purpose;
        this.gathering = gathering;
        calls = new PlatformCalls(tokens);
    }

    /**
     * Takes the answer of a tick and makes the next call when it is due.
     *
     * @param tick The tick.
     * @return What is new, if an answer arrived.
     */
    public Optional<News> run(Tick tick) {
        news = Optional.empty();
        calls.answer(tick);
        if (!calling && backOff.allows(tick.now())) {
            calling = true;
            calls.call(tick, this::nextCall, this::receive);
        }
        return news;
    }

    /**
     * Returns whether a call failed a short time ago, such that the platform may have been out of reach.
     *
     * @param now The present.
     * @param time What counts as short.
     * @return {@code true} if a call failed within that time.
     */
    public boolean hasFailedWithin(MonotonicTime now, Duration time) {
        return failedAt.filter(at -> now.since(at).compareTo(time) < 0).isPresent();
    }

    /**
     * Builds the next call.
     *
     * @param token The call's token.
     * @return A list before the first answer, else a watch.
     */
    private PlatformEffect nextCall(long token) {
        return version.isEmpty()
                ? new PlatformEffect.ListKind(token, purpose, kind)
                : new PlatformEffect.Watch(token, purpose, kind, version.getAsLong());
    }

    /**
     * Takes the answer of a call.
     *
     * @param tick The tick.
     * @param event The answer.
     */
    private void receive(Tick tick, PlatformEvent event) {
        calling = false;
        if (!(event instanceof PlatformEvent.ObjectsListed listed)) {
            failedAt = Optional.of(tick.now());
            backOff.failed(tick);
            return;
        }
        if (listed.reset()) {
            version = OptionalLong.empty();
            backOff.succeeded(tick.now(), Duration.ZERO);
            return;
        }
        news = Optional.of(new News(listed.objects(), version.isEmpty()));
        version = OptionalLong.of(listed.version());
        backOff.succeeded(tick.now(), listed.objects().isEmpty() ? Duration.ZERO : gathering);
    }

    /**
     * What an answer brought.
     *
     * @param objects The objects, in the order of their changes. Deleted ones say so.
     * @param complete {@code true} if these are all objects there are, {@code false} if they are changes.
     */
    public record News(List<StoredObject> objects, boolean complete) {}
}
