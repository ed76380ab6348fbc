package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.configuration.TrainerSettings;
import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.request.Generation;
import io.yuccaswitch.core.request.Outcome;
import io.yuccaswitch.core.request.RequestEvent;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Processes the outcomes of generations, verifies the labels of samples, and finishes groups. It runs after the request
 * path.
 */
final class GenerationSystem implements SampleMessageHandler {

    /** The initial delay before a failed or rejected generation is retried. */
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(100);

    /** The maximum delay before a generation is retried. */
    private static final Duration MAXIMUM_BACKOFF = Duration.ofSeconds(5);

    /**
     * The time within which a reading of the engine and a publication must confirm a label that is newer than the
     * latest ones.
     */
    private static final Duration VERIFICATION_TIMEOUT = Duration.ofSeconds(3);

    /** The codes of refusals that indicate that the pool is overloaded. */
    private static final Set<String> OVERLOAD_CODES = Set.of("queue-full", "shed", "deadline-unreachable");

    /** The HTTP status of a successful answer. */
    private static final int HTTP_OK = 200;

    /** The shared tables. */
    private final SampleContext context;

    /** The requests in progress. */
    private final SampleRequestTable sampleRequests;

    /** Limits the requests in progress by pool. */
    private final PoolWindow window;

    /** Estimates the length of samples. */
    private final LengthEstimate lengths;

    /** Verifies labels. */
    private final LabelCheck labels;

    /** Sends finished groups to their keepers. */
    private final HolderSystem holders;

    /**
     * Creates a new system.
     *
     * @param context The shared tables.
     * @param sampleRequests The requests in progress.
     * @param window Limits the requests in progress by pool.
     * @param lengths Estimates the length of samples.
     * @param holders Sends finished groups to their keepers.
     */
    GenerationSystem(
            SampleContext context,
            SampleRequestTable sampleRequests,
            PoolWindow window,
            LengthEstimate lengths,
            HolderSystem holders) {
        this.context = context;
        this.sampleRequests = sampleRequests;
        this.window = window;
        this.lengths = lengths;
        this.holders = holders;
        labels = new LabelCheck(context.readings);
    }

    /** {@inheritDoc} */
    @Override
    public void receive(Tick _tick, NodeIdentity _sender, SampleMessage _message) {
        // The outcomes of generations arrive only from the request path.
    }

    /** {@inheritDoc} */
    @Override
    public void run(Tick tick) {
        for (RequestEvent.Progressed event : tick.events(RequestEvent.Progressed.class)) {
            sampleRequests.find(event.id()).ifPresent(sampleRequest -> progressed(sampleRequest, event.partial()));
        }
        for (RequestEvent.Concluded event : tick.events(RequestEvent.Concluded.class)) {
            sampleRequests
                    .find(event.id())
                    .filter(sampleRequest -> !sampleRequest.scoring())
                    .ifPresent(sampleRequest -> {
                        sampleRequests.remove(event.id());
                        if (isAwaited(sampleRequest)) {
                            concluded(tick, sampleRequest, event.outcome());
                        }
                    });
        }
        for (HeldGroup group : context.held.rows()) {
            if (group.stage() == HeldGroup.Stage.RUNNING) {
                verify(tick, group);
                context.held.find(group.key()).ifPresent(current -> finish(tick, current));
            }
        }
    }

    /**
     * Returns whether a generation is the one that its sample currently waits for.
     *
     * @param sampleRequest The generation.
     * @return {@code true} if the sample waits for it.
     */
    private boolean isAwaited(SampleRequest sampleRequest) {
        return context.held
                .find(sampleRequest.key())
                .filter(group -> group.stage() == HeldGroup.Stage.RUNNING)
                .flatMap(group -> group.slots().get(sampleRequest.index()).request())
                .filter(sampleRequest.id()::equals)
                .isPresent();
    }

    /**
     * Records the version with which a generation began.
     *
     * @param sampleRequest The generation.
     * @param partial The partial generation.
     */
    private void progressed(SampleRequest sampleRequest, Generation partial) {
        if (!partial.segments().isEmpty() && partial.segments().get(0).version() >= 0) {
            sampleRequests.put(
                    sampleRequest.withOldestVersion(partial.segments().get(0).version()));
        }
    }

    /**
     * Processes the outcome of a generation.
     *
     * @param tick The current tick.
     * @param sampleRequest The generation.
     * @param outcome The outcome.
     */
    private void concluded(Tick tick, SampleRequest sampleRequest, Outcome outcome) {
        if (outcome instanceof Outcome.Answered answered
                && answered.status() == HTTP_OK
                && answered.generation().isPresent()
                && !answered.generation().get().finishReason().isEmpty()) {
            window.answered(sampleRequest.pool());
            generated(
                    tick,
                    sampleRequest,
                    answered.endpoint(),
                    answered.generation().get());
        } else if (outcome instanceof Outcome.NotRun notRun) {
            if (OVERLOAD_CODES.contains(notRun.code())) {
                window.refused(sampleRequest.pool());
            }
            retry(tick, sampleRequest, notRun.retryAfter().orElse(INITIAL_BACKOFF));
        } else {
            retry(tick, sampleRequest, INITIAL_BACKOFF);
        }
    }

    /**
     * Processes a complete generation.
     *
     * @param tick The current tick.
     * @param sampleRequest The generation's request.
     * @param engine The engine.
     * @param generation The generation.
     */
    private void generated(Tick tick, SampleRequest sampleRequest, EndpointName engine, Generation generation) {
        GroupKey key = sampleRequest.key();
        Optional<TrainerSettings> settings = context.trainer(key.trainer());
        if (settings.isEmpty()) {
            retry(tick, sampleRequest, MAXIMUM_BACKOFF);
            return;
        }
        long published = context.cursor(key.trainer()).progress().published();
        LabelCheck.Verdict verdict =
                labels.check(generation, engine, settings.get().model(), published);
        if (verdict == LabelCheck.Verdict.UNREPORTED) {
            reject(tick, sampleRequest, DiscardReason.VERSION_UNREPORTED, generation.tokens());
        } else {
            Sample sample = new Sample(sampleRequest.index(), generation.text(), generation.segments(), 0, false);
            boolean verified = verdict == LabelCheck.Verdict.VERIFIED;
            Slot.Phase nextPhase = verified ? phaseAfterVerification(settings.get()) : Slot.Phase.VERIFYING;
            recordLength(tick, key, sampleRequest.index(), sample);
            context.held.update(
                    key,
                    group -> group.withSlot(
                            sampleRequest.index(),
                            group.slots()
                                    .get(sampleRequest.index())
                                    .withSample(nextPhase, sample, engine, tick.now())));
        }
    }

    /**
     * Records the length and generation time of a sample.
     *
     * @param tick The current tick.
     * @param key The identity of the group.
     * @param index The index of the sample in its group.
     * @param sample The sample.
     */
    private void recordLength(Tick tick, GroupKey key, int index, Sample sample) {
        context.held.find(key).ifPresent(group -> {
            lengths.observe(group.specification().prompt(), sample.tokens());
            MonotonicTime startedAt = group.slots().get(index).startedAt();
            context.statistics.generated(
                    key.trainer(), sample.tokens(), tick.now().since(startedAt));
        });
    }

    /**
     * Returns the phase of a sample after its label is verified.
     *
     * @param settings The trainer's settings.
     * @return The phase.
     */
    private static Slot.Phase phaseAfterVerification(TrainerSettings settings) {
        return settings.scorer().isPresent() ? Slot.Phase.UNSCORED : Slot.Phase.FINISHED;
    }

    /**
     * Resolves the labels of a group that wait for a reading, and discards stale samples.
     *
     * @param tick The current tick.
     * @param group The group.
     */
    private void verify(Tick tick, HeldGroup group) {
        Optional<TrainerSettings> settings = context.trainer(group.key().trainer());
        if (settings.isEmpty()) {
            return;
        }
        long oldestAllowed = context.cursor(group.key().trainer()).progress().useVersion()
                - settings.get().stalenessBound();
        for (int index = 0; index < group.slots().size(); index++) {
            Slot slot = group.slots().get(index);
            if (slot.sample().isEmpty() || slot.phase() == Slot.Phase.SCORING) {
                continue;
            }
            if (slot.sample().get().oldestVersion() < oldestAllowed) {
                discard(tick, group.key(), index, DiscardReason.STALE);
            } else if (slot.phase() == Slot.Phase.VERIFYING) {
                resolveLabel(tick, group.key(), index, slot, settings.get());
            }
        }
    }

    /**
     * Verifies a label that waits for a reading, or discards its sample after {@link #VERIFICATION_TIMEOUT}.
     *
     * @param tick The current tick.
     * @param key The identity of the group.
     * @param index The index of the sample in its group.
     * @param slot The sample.
     * @param settings The trainer's settings.
     */
    private void resolveLabel(Tick tick, GroupKey key, int index, Slot slot, TrainerSettings settings) {
        long newest = LabelCheck.newestVersion(slot.sample().orElseThrow().segments());
        long published = context.cursor(key.trainer()).progress().published();
        if (labels.confirmed(newest, slot.endpoint().orElseThrow(), settings.model(), published)) {
            context.held.update(key, group -> group.withSlot(index, slot.withPhase(phaseAfterVerification(settings))));
        } else if (slot.notBefore().plus(VERIFICATION_TIMEOUT).isBefore(tick.now())) {
            boolean unpublished = published > 0 && newest > published;
            discard(
                    tick,
                    key,
                    index,
                    unpublished ? DiscardReason.VERSION_IMPOSSIBLE : DiscardReason.VERSION_CONTRADICTED);
        }
    }

    /**
     * Discards a generated sample, and schedules its generation again.
     *
     * @param tick The current tick.
     * @param key The identity of the group.
     * @param index The index of the sample in its group.
     * @param reason The reason.
     */
    private void discard(Tick tick, GroupKey key, int index, DiscardReason reason) {
        context.held.update(key, group -> {
            Slot slot = group.slots().get(index);
            int tokens = slot.sample().map(Sample::tokens).orElse(0);
            context.statistics.discarded(key.trainer(), reason, 1, tokens);
            tick.decide(Decision.of("discard", key + "/" + index, "run again", reason.code()));
            return group.withSlot(index, slot.withGenerationRetry(tick.now().plus(backoff(slot))));
        });
    }

    /**
     * Rejects a generation because of its label, and schedules it again.
     *
     * @param tick The current tick.
     * @param sampleRequest The generation's request.
     * @param reason The reason.
     * @param tokens The number of its tokens.
     */
    private void reject(Tick tick, SampleRequest sampleRequest, DiscardReason reason, int tokens) {
        context.statistics.discarded(sampleRequest.key().trainer(), reason, 1, tokens);
        tick.decide(
                Decision.of("discard", sampleRequest.key() + "/" + sampleRequest.index(), "run again", reason.code()));
        retry(tick, sampleRequest, INITIAL_BACKOFF);
    }

    /**
     * Schedules the generation of a sample again.
     *
     * @param tick The current tick.
     * @param sampleRequest The generation that yielded no sample.
     * @param minimumDelay The minimum delay before the next generation.
     */
    private void retry(Tick tick, SampleRequest sampleRequest, Duration minimumDelay) {
        context.held.update(sampleRequest.key(), group -> {
            Slot slot = group.slots().get(sampleRequest.index());
            Duration backoff = backoff(slot);
            Duration delay = minimumDelay.compareTo(backoff) > 0 ? minimumDelay : backoff;
            return group.withSlot(
                    sampleRequest.index(), slot.withGenerationRetry(tick.now().plus(delay)));
        });
    }

    /**
     * Computes the delay before a sample is generated again, which doubles with each attempt.
     *
     * @param slot The sample.
     * @return The delay.
     */
    private static Duration backoff(Slot slot) {
        Duration delay = INITIAL_BACKOFF;
        for (int attempt = 1; attempt < slot.attempts() && delay.compareTo(MAXIMUM_BACKOFF) < 0; attempt++) {
            delay = delay.multipliedBy(2);
        }
        return delay.compareTo(MAXIMUM_BACKOFF) < 0 ? delay : MAXIMUM_BACKOFF;
    }

    /**
     * Finishes a group whose samples are all finished.
     *
     * @param tick The current tick.
     * @param group The group.
     */
    private void finish(Tick tick, HeldGroup group) {
        if (group.unfinished() > 0) {
            return;
        }
        List<Sample> samples =
                group.slots().stream().map(slot -> slot.sample().orElseThrow()).toList();
        HeldGroup finished = group.withFinished(samples);
        context.held.put(group.key(), finished);
        context.statistics.completed(group.key().trainer(), tick.now().since(group.acceptedAt()));
        holders.sendFinished(tick, finished);
    }
}
