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
 * Processes the scores of samples. A call that is known not to have run is retried. A call that may have run is retried
 * only if the scorer's calls may be repeated. Otherwise, its sample is generated again, so that its next scoring is a
 * different call.
 */
final class ScoringSystem implements SampleMessageHandler {

    /**
     * The default delay before a scoring is retried, and the delay before the sample of a lost score is generated
     * again.
     */
    private static final Duration RETRY_DELAY = Duration.ofMillis(500);

    /** The HTTP status of a successful answer. */
    private static final int HTTP_OK = 200;

    /** The shared tables. */
    private final SampleContext context;

    /** The requests in progress. */
    private final SampleRequestTable sampleRequests;

    /**
     * Creates a new system.
     *
     * @param context The shared tables.
     * @param sampleRequests The requests in progress.
     */
    ScoringSystem(SampleContext context, SampleRequestTable sampleRequests) {
        this.context = context;
        this.sampleRequests = sampleRequests;
    }

    /** {@inheritDoc} */
    @Override
    public void receive(Tick _tick, NodeIdentity _sender, SampleMessage _message) {
        // The outcomes of scorings arrive only from the request path.
    }

    /** {@inheritDoc} */
    @Override
    public void run(Tick tick) {
        for (RequestEvent.Concluded event : tick.events(RequestEvent.Concluded.class)) {
            sampleRequests.find(event.id()).filter(SampleRequest::scoring).ifPresent(sampleRequest -> {
                sampleRequests.remove(event.id());
                concluded(tick, sampleRequest, event.outcome());
            });
        }
    }

    /**
     * Processes the outcome of a scoring.
     *
     * @param tick The current tick.
     * @param sampleRequest The scoring.
     * @param outcome The outcome.
     */
    private void concluded(Tick tick, SampleRequest sampleRequest, Outcome outcome) {
        Optional<Slot> found = context.held
                .find(sampleRequest.key())
                .filter(group -> group.stage() == HeldGroup.Stage.RUNNING)
                .map(group -> group.slots().get(sampleRequest.index()))
                .filter(slot -> slot.request().equals(Optional.of(sampleRequest.id())));
        if (found.isEmpty()) {
            return;
        }
        Slot slot = found.get();
        OptionalDouble score = score(outcome);
        if (score.isPresent()) {
            put(sampleRequest, slot.withScore(score.getAsDouble()));
        } else if (outcome instanceof Outcome.NotRun notRun) {
            put(
                    sampleRequest,
                    slot.withScoringRetry(tick.now().plus(notRun.retryAfter().orElse(RETRY_DELAY))));
        } else if (isRepeatable(sampleRequest)) {
            put(sampleRequest, slot.withScoringRetry(tick.now().plus(RETRY_DELAY)));
        } else {
            regenerate(tick, sampleRequest, slot);
        }
    }

    /**
     * Discards a sample whose score was lost, and schedules its generation again.
     *
     * @param tick The current tick.
     * @param sampleRequest The scoring.
     * @param slot The sample.
     */
    private void regenerate(Tick tick, SampleRequest sampleRequest, Slot slot) {
        int tokens = slot.sample().map(Sample::tokens).orElse(0);
        context.statistics.discarded(sampleRequest.key().trainer(), DiscardReason.SCORE_LOST, 1, tokens);
        tick.decide(Decision.of(
                "discard",
                sampleRequest.key() + "/" + sampleRequest.index(),
                "run again",
                DiscardReason.SCORE_LOST.code()));
        put(sampleRequest, slot.withGenerationRetry(tick.now().plus(RETRY_DELAY)));
    }

    /**
     * Returns whether the calls of a sample's scorer may be repeated.
     *
     * @param sampleRequest The scoring.
     * @return {@code true} if calls may be repeated.
     */
    private boolean isRepeatable(SampleRequest sampleRequest) {
        return context.trainer(sampleRequest.key().trainer())
                .map(TrainerSettings::scorerRepeatable)
                .orElse(false);
    }

    /**
     * Extracts the score from an outcome.
     *
     * @param outcome The outcome.
     * @return The score, or empty if there is none.
     */
    private static OptionalDouble score(Outcome outcome) {
        return outcome instanceof Outcome.Answered answered && answered.status() == HTTP_OK
                ? CompletionBody.score(answered.body())
                : OptionalDouble.empty();
    }

    /**
     * Replaces the state of a sample.
     *
     * @param sampleRequest The scoring.
     * @param slot The changed sample.
     */
    private void put(SampleRequest sampleRequest, Slot slot) {
        context.held.update(sampleRequest.key(), group -> group.withSlot(sampleRequest.index(), slot));
    }
}
