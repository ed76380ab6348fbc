package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.peer.RequestNumbers;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Accepts pulls from trainers and forwards them to a keeper: the primary, or the secondary if the primary does not
 * answer. It is harmless if both keepers serve the same pull, as the trainer processes only one answer and its next
 * cursor identifies which.
 */
final class PullSystem implements SampleMessageHandler {

    /** The maximum time that a pull may wait for groups. */
    private static final Duration MAXIMUM_WAIT = Duration.ofSeconds(60);

    /** The time that a keeper has for its answer in addition to the time that the trainer waits for groups. */
    private static final Duration KEEPER_TIMEOUT_MARGIN = Duration.ofMillis(2500);

    /** The maximum number of attempts to forward a pull to a keeper. */
    private static final int MAXIMUM_ATTEMPTS = 4;

    /** The time after which a trainer should pull again if no keeper answers. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(500);

    /** The shared tables. */
    private final SampleContext context;

    /** The unanswered pulls, by the numbers under which they were forwarded. */
    private final EntityTable<Long, ForwardedPull> forwardedPulls = new EntityTable<>();

    /** Allocates the numbers of pulls. */
    private final RequestNumbers numbers;

    /**
     * Creates a new system.
     *
     * @param context The shared tables.
     */
    PullSystem(SampleContext context) {
        this.context = context;
        numbers = new RequestNumbers(context.membership.self().identity());
    }

    /** {@inheritDoc} */
    @Override
    public void receive(Tick tick, NodeIdentity _sender, SampleMessage message) {
        if (message instanceof SampleMessage.PullAnswered answer) {
            PullResult result = new PullResult.HandedOver(answer.cursor(), answer.groups(), answer.remaining());
            conclude(tick, answer.token(), result);
        } else if (message instanceof SampleMessage.PullRefused refusal) {
            PullResult result = new PullResult.Refused(
                    refusal.code(), refusal.message(), SubmissionSystem.retryAfter(refusal.retryAfterMillis()));
            conclude(tick, refusal.token(), result);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void run(Tick tick) {
        tick.events(SampleEvent.PullRequested.class).forEach(event -> start(tick, event));
        tick.events(SampleEvent.PullAbandoned.class)
                .forEach(event -> forwardedPulls.removeIf(pull -> pull.event().token() == event.token()));
        for (PeerEvent.Undeliverable event : tick.events(PeerEvent.Undeliverable.class)) {
            if (event.message() instanceof SampleMessage.Pull pull) {
                forwardedPulls
                        .find(pull.token())
                        .filter(forwardedPull -> forwardedPull.keeper().name().equals(event.target()))
                        .ifPresent(forwardedPull -> forwardAgain(tick, forwardedPull));
            }
        }
        for (ForwardedPull forwardedPull : forwardedPulls.rows()) {
            boolean working = context.roles.working().stream()
                    .anyMatch(member -> member.identity().equals(forwardedPull.keeper()));
            if (!working || forwardedPull.keeperDeadline().isBefore(tick.now())) {
                forwardAgain(tick, forwardedPull);
            }
        }
    }

    /**
     * Starts a pull, or refuses it immediately if the trainer is not configured or the cursor is not valid for it.
     *
     * @param tick The current tick.
     * @param event The pull.
     */
    private void start(Tick tick, SampleEvent.PullRequested event) {
        Optional<CursorCodec.Reading> reading = event.cursor().map(text -> CursorCodec.decode(event.trainer(), text));
        if (context.trainer(event.trainer()).isEmpty()) {
            refuse(tick, event, "trainer-unknown", "The trainer is not configured.", Optional.empty());
        } else if (reading.isPresent() && reading.get() instanceof CursorCodec.Reading.Malformed malformed) {
            refuse(tick, event, "cursor-malformed", malformed.reason(), Optional.empty());
        } else if (reading.isPresent() && reading.get() instanceof CursorCodec.Reading.Foreign foreign) {
            refuse(
                    tick,
                    event,
                    "cursor-foreign",
                    "The cursor belongs to the trainer " + foreign.owner() + ".",
                    Optional.empty());
        } else {
            forward(tick, numbers.next(), event, Optional.empty());
        }
    }

    /**
     * Forwards a pull to the next keeper, or refuses it if there is none.
     *
     * @param tick The current tick.
     * @param number The number of the pull.
     * @param event The pull.
     * @param previous The previous attempt, or empty for the first.
     */
    private void forward(Tick tick, long number, SampleEvent.PullRequested event, Optional<ForwardedPull> previous) {
        int attempt = previous.map(ForwardedPull::attempt).orElse(0) + 1;
        List<Member> keepers = context.roles.keepers(event.trainer());
        if (attempt > MAXIMUM_ATTEMPTS || keepers.isEmpty()) {
            forwardedPulls.remove(number);
            refuse(tick, event, "keepers-unreachable", "No keeper answered.", Optional.of(RETRY_DELAY));
            return;
        }
        Member keeper = keepers.stream()
                .filter(member -> previous.isEmpty()
                        || !member.identity().equals(previous.get().keeper()))
                .findFirst()
                .orElseGet(() -> keepers.get(0));
        MonotonicTime deadline = previous.map(ForwardedPull::deadline)
                .orElseGet(() -> tick.now().plus(limitedWait(event.maximumWait())));
        Duration remainingWait = tick.now().isBefore(deadline) ? deadline.since(tick.now()) : Duration.ZERO;
        MonotonicTime keeperDeadline = tick.now().plus(remainingWait).plus(KEEPER_TIMEOUT_MARGIN);
        forwardedPulls.put(
                number, new ForwardedPull(number, event, keeper.identity(), attempt, deadline, keeperDeadline));
        SampleMessage.Pull message = new SampleMessage.Pull(
                number,
                event.trainer(),
                event.cursor().orElse(""),
                event.useVersion(),
                event.step().orElse(SampleMessage.ANY_STEP),
                event.maximumGroups(),
                remainingWait.toMillis());
        context.outbox.send(tick, keeper, message);
    }

    /**
     * Forwards a pull to another keeper than before.
     *
     * @param tick The current tick.
     * @param previous The previous attempt.
     */
    private void forwardAgain(Tick tick, ForwardedPull previous) {
        forward(tick, previous.number(), previous.event(), Optional.of(previous));
    }

    /**
     * Limits the time that a pull may wait.
     *
     * @param requestedWait The time that the trainer requested.
     * @return The limited time.
     */
    private static Duration limitedWait(Duration requestedWait) {
        return requestedWait.compareTo(MAXIMUM_WAIT) < 0 ? requestedWait : MAXIMUM_WAIT;
    }

    /**
     * Refuses a pull.
     *
     * @param tick The current tick.
     * @param event The pull.
     * @param code The code of the reason.
     * @param message The explanation for the trainer.
     * @param retryAfter The time after which the trainer may retry, or empty if a retry is useless.
     */
    private void refuse(
            Tick tick, SampleEvent.PullRequested event, String code, String message, Optional<Duration> retryAfter) {
        tick.decide(Decision.of("pull", event.trainer().toString(), Decision.NO_CHOICE, code));
        tick.emit(new SampleEffect.AnswerPull(event.token(), new PullResult.Refused(code, message, retryAfter)));
    }

    /**
     * Answers a pull, unless it was answered before.
     *
     * @param tick The current tick.
     * @param number The number of the pull.
     * @param result The result.
     */
    private void conclude(Tick tick, long number, PullResult result) {
        forwardedPulls
                .remove(number)
                .ifPresent(pull ->
                        tick.emit(new SampleEffect.AnswerPull(pull.event().token(), result)));
    }

    /**
     * An unanswered pull, as it was forwarded to a keeper.
     *
     * @param number The number of the pull.
     * @param event The pull.
     * @param keeper The keeper that it was forwarded to.
     * @param attempt The number of the attempt, starting at one.
     * @param deadline The time until which the trainer wants to wait for groups.
     * @param keeperDeadline The time at which another keeper is tried.
     */
    private record ForwardedPull(
            long number,
            SampleEvent.PullRequested event,
            NodeIdentity keeper,
            int attempt,
            MonotonicTime deadline,
            MonotonicTime keeperDeadline) {}
}
