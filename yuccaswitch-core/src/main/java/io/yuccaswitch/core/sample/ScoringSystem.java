package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.configuration.TrainerSettings;
import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.request.Outcome;
import io.yuccaswitch.core.request.RequestEvent;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Takes the scores of samples. A call that surely did not run is made again. A call that may have run is made again
 * only if the scorer's calls may be repeated; otherwise its sample is generated anew, which is then a call of its own.
 */
final class ScoringSystem implements SampleMessageHandler {

    /** The pause before a scoring is tried again. */
    private static final Duration BACKOFF = Duration.ofMillis(500);

    /** The HTTP status of a whole answer. */
    private static final int OK = 200;

    /** The shared tables. */
    private final SampleContext context;

    /** The requests in progress. */
    private final FlightTable flights;

    /**
     * Creates a new system.
     *
     * @param context The shared tables.
     * @param flights The requests in progress.
     */
    ScoringSystem(SampleContext context, FlightTable flights) {
        this.context = context;
        this.flights = flights;
    }

    /** {@inheritDoc} */
    @Override
    public void receive(Tick _tick, NodeIdentity _sender, SampleMessage _message) {
        // Scores come from the request path alone.
    }

    /** {@inheritDoc} */
    @Override
    public void run(Tick tick) {
        for (RequestEvent.Concluded event : tick.events(RequestEvent.Concluded.class)) {
            flights.find(event.id()).filter(Flight::scoring).ifPresent(flight -> {
                flights.remove(event.id());
                concluded(tick, flight, event.outcome());
            });
        }
    }

    /**
     * Takes the outcome of a scoring.
     *
     * @param tick The current tick.
     * @param flight The scoring.
     * @param outcome The outcome.
     */
    private void concluded(Tick tick, Flight flight, Outcome outcome) {
        Optional<Slot> found = context.held
                .find(flight.key())
                .filter(group -> group.stage() == HeldGroup.Stage.RUNNING)
                .map(group -> group.slots().get(flight.index()))
                .filter(slot -> slot.request().equals(Optional.of(flight.id())));
        if (found.isEmpty()) {
            return;
        }
        Slot slot = found.get();
        OptionalDouble score = score(outcome);
        if (score.isPresent()) {
            put(flight, slot.withScore(score.getAsDouble()));
        } else if (outcome instanceof Outcome.NotRun notRun) {
            put(
                    flight,
                    slot.withScoringAgain(tick.now().plus(notRun.retryAfter().orElse(BACKOFF))));
        } else if (repeatable(flight)) {
            put(flight, slot.withScoringAgain(tick.now().plus(BACKOFF)));
        } else {
            lost(tick, flight, slot);
        }
    }

    /**
     * Generates a sample anew whose score is lost.
     *
     * @param tick The current tick.
     * @param flight The scoring.
     * @param slot The sample.
     */
    private void lost(Tick tick, Flight flight, Slot slot) {
        int tokens = slot.sample().map(Sample::tokens).orElse(0);
        context.statistics.discarded(flight.key().trainer(), DiscardReason.SCORE_LOST, 1, tokens);
        tick.decide(Decision.of(
                "discard", flight.key() + "/" + flight.index(), "run again", DiscardReason.SCORE_LOST.code()));
        put(flight, slot.withGenerationAgain(tick.now().plus(BACKOFF)));
    }

    /**
     * Returns whether the calls of a sample's scorer may be repeated.
     *
     * @param flight The scoring.
     * @return {@code true} if calls may be repeated.
     */
    private boolean repeatable(Flight flight) {
        return context.trainer(flight.key().trainer())
                .map(TrainerSettings::scorerRepeatable)
                .orElse(false);
    }

    /**
     * Reads the score from an outcome.
     *
     * @param outcome The outcome.
     * @return The score, or empty if there is none.
     */
    private static OptionalDouble score(Outcome outcome) {
        return outcome instanceof Outcome.Answered answered && answered.status() == OK
                ? CompletionBody.score(answered.body())
                : OptionalDouble.empty();
    }

    /**
     * Replaces a sample.
     *
     * @param flight The scoring.
     * @param slot The changed sample.
     */
    private void put(Flight flight, Slot slot) {
        context.held.update(flight.key(), group -> group.withSlot(flight.index(), slot));
    }
}
