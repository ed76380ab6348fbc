package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Takes pulls from trainers and passes them on to a keeper: the primary, or the secondary if the primary does not
 * answer. That both may serve the same pull does no harm, as the trainer takes only one answer and its cursor says
 * which.
 */
final class PullSystem implements SampleMessageHandler {

    /** The longest time that a pull may wait for groups. */
    private static final Duration MAXIMUM_WAIT = Duration.ofSeconds(60);

    /** The time beyond the trainer's own that a keeper has for its answer. */
    private static final Duration KEEPER_PATIENCE = Duration.ofMillis(2500);

    /** The largest number of keepers that are tried for a pull. */
    private static final int MAXIMUM_ATTEMPTS = 4;

    /** The time after which a trainer should pull again if no keeper answers. */
    private static final Duration RETRY_AFTER = Duration.ofMillis(500);

    /** The shared tables. */
    private final SampleContext context;

    /** The pulls that are not answered yet. */
    private final EntityTable<Long, Route> routes = new EntityTable<>();

    /**
     * Creates a new system.
     *
     * @param context The shared tables.
     */
    PullSystem(SampleContext context) {
        this.context = context;
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
        tick.events(SampleEvent.PullRequested.class).forEach(event -> begin(tick, event));
        tick.events(SampleEvent.PullAbandoned.class).forEach(event -> routes.remove(event.token()));
        for (PeerEvent.Undeliverable event : tick.events(PeerEvent.Undeliverable.class)) {
            if (event.message() instanceof SampleMessage.Pull pull) {
                routes.find(pull.token())
                        .filter(route -> route.keeper().name().equals(event.target()))
                        .ifPresent(route -> pass(tick, route.event(), Optional.of(route)));
            }
        }
        for (Route route : routes.rows()) {
            boolean working = context.roles.working().stream()
                    .anyMatch(member -> member.identity().equals(route.keeper()));
            if (!working || route.patienceEnds().isBefore(tick.now())) {
                pass(tick, route.event(), Optional.of(route));
            }
        }
    }

    /**
     * Begins a pull, or refuses it at once if its cursor is not the trainer's.
     *
     * @param tick The current tick.
     * @param event The pull.
     */
    private void begin(Tick tick, SampleEvent.PullRequested event) {
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
            pass(tick, event, Optional.empty());
        }
    }

    /**
     * Passes a pull on to the next keeper.
     *
     * @param tick The current tick.
     * @param event The pull.
     * @param before The attempt before, or empty for the first.
     */
    private void pass(Tick tick, SampleEvent.PullRequested event, Optional<Route> before) {
        int attempt = before.map(Route::attempt).orElse(0) + 1;
        List<Member> keepers = context.roles.keepers(event.trainer());
        if (attempt > MAXIMUM_ATTEMPTS || keepers.isEmpty()) {
            refuse(tick, event, "keepers-unreachable", "No keeper answers.", Optional.of(RETRY_AFTER));
            return;
        }
        Member keeper = keepers.stream()
                .filter(member -> before.isEmpty()
                        || !member.identity().equals(before.get().keeper()))
                .findFirst()
                .orElseGet(() -> keepers.get(0));
        MonotonicTime deadline =
                before.map(Route::deadline).orElseGet(() -> tick.now().plus(bounded(event.patience())));
        Duration left = tick.now().isBefore(deadline) ? deadline.since(tick.now()) : Duration.ZERO;
        MonotonicTime patienceEnds = tick.now().plus(left).plus(KEEPER_PATIENCE);
        routes.put(event.token(), new Route(event, keeper.identity(), attempt, deadline, patienceEnds));
        SampleMessage.Pull message = new SampleMessage.Pull(
                event.token(),
                event.trainer(),
                event.cursor().orElse(""),
                event.useVersion(),
                event.step().orElse(SampleMessage.ANY_STEP),
                event.maximumGroups(),
                left.toMillis());
        context.outbox.send(tick, keeper, message);
    }

    /**
     * Bounds the time that a pull may wait.
     *
     * @param patience The time that the trainer asked for.
     * @return The time.
     */
    private static Duration bounded(Duration patience) {
        return patience.compareTo(MAXIMUM_WAIT) < 0 ? patience : MAXIMUM_WAIT;
    }

    /**
     * Refuses a pull.
     *
     * @param tick The current tick.
     * @param event The pull.
     * @param code The code of the reason.
     * @param message The explanation for the trainer.
     * @param retryAfter The time after which it is worth to ask again, or empty if it never is.
     */
    private void refuse(
            Tick tick, SampleEvent.PullRequested event, String code, String message, Optional<Duration> retryAfter) {
        routes.remove(event.token());
        tick.decide(Decision.of("pull", event.trainer().toString(), Decision.NO_CHOICE, code));
        tick.emit(new SampleEffect.AnswerPull(event.token(), new PullResult.Refused(code, message, retryAfter)));
    }

    /**
     * Answers a pull, unless it was answered before.
     *
     * @param tick The current tick.
     * @param token The token of the pull.
     * @param result The result.
     */
    private void conclude(Tick tick, long token, PullResult result) {
        routes.remove(token).ifPresent(_route -> tick.emit(new SampleEffect.AnswerPull(token, result)));
    }

    /**
     * A pull that is not answered yet.
     *
     * @param event The pull.
     * @param keeper The keeper that it was passed on to.
     * @param attempt The number of the attempt, from one.
     * @param deadline The time until which the trainer wants to wait for groups.
     * @param patienceEnds The time at which another keeper is tried.
     */
    private record Route(
            SampleEvent.PullRequested event,
            NodeIdentity keeper,
            int attempt,
            MonotonicTime deadline,
            MonotonicTime patienceEnds) {}
}
