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

/** Takes what engines generated, proves its labels, and finishes groups. It runs after the request path. */
final class GenerationSystem implements SampleMessageHandler {

    /** The pause before a generation that failed or was rejected runs again. */
    private static final Duration BACKOFF = Duration.ofMillis(100);

    /** The longest such pause. */
    private static final Duration MAXIMUM_BACKOFF = Duration.ofSeconds(5);

    /** The time in which an engine's reading must confirm a label that is newer than the reading before. */
    private static final Duration VERIFY_PATIENCE = Duration.ofSeconds(3);

    /** The codes of refusals that say that the pool has more work than it can take. */
    private static final Set<String> OVERLOAD_CODES = Set.of("queue-full", "shed", "deadline-unreachable");

    /** The HTTP status of a whole answer. */
    private static final int OK = 200;

    /** The shared tables. */
    private final SampleContext context;

    /** The requests in progress. */
    private final FlightTable flights;

    /** Bounds the requests in progress. */
    private final PoolWindow window;

    /** Expects the length of samples. */
    private final LengthEstimate lengths;

    /** Proves labels. */
    private final LabelCheck labels;

    /** Sends finished groups to their keepers. */
    private final HolderSystem holders;

    /**
     * Creates a new system.
     *
     * @param context The shared tables.
     * @param flights The requests in progress.
     * @param window Bounds the requests in progress.
     * @param lengths Expects the length of samples.
     * @param holders Sends finished groups to their keepers.
     */
    GenerationSystem(
            SampleContext context,
            FlightTable flights,
            PoolWindow window,
            LengthEstimate lengths,
            HolderSystem holders) {
        this.context = context;
        this.flights = flights;
        this.window = window;
        this.lengths = lengths;
        this.holders = holders;
        labels = new LabelCheck(context.readings);
    }

    /** {@inheritDoc} */
    @Override
    public void receive(Tick _tick, NodeIdentity _sender, SampleMessage _message) {
        // Generations come from the request path alone.
    }

    /** {@inheritDoc} */
    @Override
    public void run(Tick tick) {
        for (RequestEvent.Progressed event : tick.events(RequestEvent.Progressed.class)) {
            flights.find(event.id()).ifPresent(flight -> progressed(flight, event.partial()));
        }
        for (RequestEvent.Concluded event : tick.events(RequestEvent.Concluded.class)) {
            flights.find(event.id()).filter(flight -> !flight.scoring()).ifPresent(flight -> {
                flights.remove(event.id());
                if (expected(flight)) {
                    concluded(tick, flight, event.outcome());
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
     * Returns whether a generation is the one that its sample waits for.
     *
     * @param flight The generation.
     * @return {@code true} if the sample waits for it.
     */
    private boolean expected(Flight flight) {
        return context.held
                .find(flight.key())
                .filter(group -> group.stage() == HeldGroup.Stage.RUNNING)
                .flatMap(group -> group.slots().get(flight.index()).request())
                .filter(flight.id()::equals)
                .isPresent();
    }

    /**
     * Learns the version that a generation began with.
     *
     * @param flight The generation.
     * @param partial What was generated so far.
     */
    private void progressed(Flight flight, Generation partial) {
        if (!partial.segments().isEmpty() && partial.segments().get(0).version() >= 0) {
            flights.put(flight.withOldestVersion(partial.segments().get(0).version()));
        }
    }

    /**
     * Takes the outcome of a generation.
     *
     * @param tick The current tick.
     * @param flight The generation.
     * @param outcome The outcome.
     */
    private void concluded(Tick tick, Flight flight, Outcome outcome) {
        if (outcome instanceof Outcome.Answered answered
                && answered.status() == OK
                && answered.generation().isPresent()
                && !answered.generation().get().finishReason().isEmpty()) {
            window.answered(flight.pool());
            generated(tick, flight, answered.endpoint(), answered.generation().get());
        } else if (outcome instanceof Outcome.NotRun notRun) {
            if (OVERLOAD_CODES.contains(notRun.code())) {
                window.refused(flight.pool());
            }
            again(tick, flight, notRun.retryAfter().orElse(BACKOFF));
        } else {
            again(tick, flight, BACKOFF);
        }
    }

    /**
     * Takes a whole generation.
     *
     * @param tick The current tick.
     * @param flight The generation's request.
     * @param engine The engine.
     * @param generation The generation.
     */
    private void generated(Tick tick, Flight flight, EndpointName engine, Generation generation) {
        GroupKey key = flight.key();
        Optional<TrainerSettings> settings = context.trainer(key.trainer());
        if (settings.isEmpty()) {
            again(tick, flight, MAXIMUM_BACKOFF);
            return;
        }
        long published = context.cursor(key.trainer()).progress().published();
        LabelCheck.Verdict verdict =
                labels.judge(generation, engine, settings.get().model(), published);
        if (verdict == LabelCheck.Verdict.UNREPORTED) {
            reject(tick, flight, DiscardReason.VERSION_UNREPORTED, generation.tokens());
        } else {
            Sample sample = new Sample(flight.index(), generation.text(), generation.segments(), 0, false);
            boolean proven = verdict == LabelCheck.Verdict.PROVEN;
            Slot.Phase next = proven ? afterProof(settings.get()) : Slot.Phase.VERIFYING;
            lengthObserved(tick, key, flight.index(), sample);
            context.held.update(
                    key,
                    group -> group.withSlot(
                            flight.index(),
                            group.slots().get(flight.index()).withSample(next, sample, engine, tick.now())));
        }
    }

    /**
     * Counts a generated sample.
     *
     * @param tick The current tick.
     * @param key The identity of the group.
     * @param index The index of the sample in its group.
     * @param sample The sample.
     */
    private void lengthObserved(Tick tick, GroupKey key, int index, Sample sample) {
        context.held.find(key).ifPresent(group -> {
            lengths.observe(group.specification().prompt(), sample.tokens());
            MonotonicTime begun = group.slots().get(index).startedAt();
            context.statistics.generated(
                    key.trainer(), sample.tokens(), tick.now().since(begun));
        });
    }

    /**
     * Returns what a sample waits for after its label is proven.
     *
     * @param settings The trainer's settings.
     * @return The phase.
     */
    private static Slot.Phase afterProof(TrainerSettings settings) {
        return settings.scorer().isPresent() ? Slot.Phase.UNSCORED : Slot.Phase.FINISHED;
    }

    /**
     * Settles the labels of a group that wait for a reading, and discards samples that have become stale.
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
                settle(tick, group.key(), index, slot, settings.get());
            }
        }
    }

    /**
     * Settles a label that waits for a reading.
     *
     * @param tick The current tick.
     * @param key The identity of the group.
     * @param index The index of the sample in its group.
     * @param slot The sample.
     * @param settings The trainer's settings.
     */
    private void settle(Tick tick, GroupKey key, int index, Slot slot, TrainerSettings settings) {
        long newest = LabelCheck.newest(slot.sample().orElseThrow().segments());
        long published = context.cursor(key.trainer()).progress().published();
        if (labels.confirmed(newest, slot.endpoint().orElseThrow(), settings.model(), published)) {
            context.held.update(key, group -> group.withSlot(index, slot.withPhase(afterProof(settings))));
        } else if (slot.notBefore().plus(VERIFY_PATIENCE).isBefore(tick.now())) {
            boolean unpublished = published > 0 && newest > published;
            discard(
                    tick,
                    key,
                    index,
                    unpublished ? DiscardReason.VERSION_IMPOSSIBLE : DiscardReason.VERSION_CONTRADICTED);
        }
    }

    /**
     * Discards a sample that was generated, and has it generated again.
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
            return group.withSlot(index, slot.withGenerationAgain(tick.now().plus(backoff(slot))));
        });
    }

    /**
     * Rejects a generation for its label, and has it run again.
     *
     * @param tick The current tick.
     * @param flight The generation's request.
     * @param reason The reason.
     * @param tokens The number of its tokens.
     */
    private void reject(Tick tick, Flight flight, DiscardReason reason, int tokens) {
        context.statistics.discarded(flight.key().trainer(), reason, 1, tokens);
        tick.decide(Decision.of("discard", flight.key() + "/" + flight.index(), "run again", reason.code()));
        again(tick, flight, BACKOFF);
    }

    /**
     * Has a sample generated again.
     *
     * @param tick The current tick.
     * @param flight The generation that gave no sample.
     * @param pause The smallest pause before.
     */
    private void again(Tick tick, Flight flight, Duration pause) {
        context.held.update(flight.key(), group -> {
            Slot slot = group.slots().get(flight.index());
            Duration backoff = backoff(slot);
            Duration longest = pause.compareTo(backoff) > 0 ? pause : backoff;
            return group.withSlot(
                    flight.index(), slot.withGenerationAgain(tick.now().plus(longest)));
        });
    }

    /**
     * Computes the pause before a sample is generated again, which doubles with each attempt.
     *
     * @param slot The sample.
     * @return The pause.
     */
    private static Duration backoff(Slot slot) {
        Duration pause = BACKOFF;
        for (int attempt = 1; attempt < slot.attempts() && pause.compareTo(MAXIMUM_BACKOFF) < 0; attempt++) {
            pause = pause.multipliedBy(2);
        }
        return pause.compareTo(MAXIMUM_BACKOFF) < 0 ? pause : MAXIMUM_BACKOFF;
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
