package io.yuccaswitch.core.sample;

import com.google.common.hash.Hashing;
import io.yuccaswitch.core.configuration.PriorityClass;
import io.yuccaswitch.core.configuration.TrainerSettings;
import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.endpoint.PrefixHashes;
import io.yuccaswitch.core.identity.CallerName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.identity.TrainerName;
import io.yuccaswitch.core.request.Request;
import io.yuccaswitch.core.request.RequestClock;
import io.yuccaswitch.core.request.RequestEvent;
import io.yuccaswitch.core.request.RequestId;
import io.yuccaswitch.core.time.MonotonicTime;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Starts generations and scorings of the groups that this node drives, and stops generations whose samples are certain
 * to be stale. It runs before the request path, to which it passes requests as {@link RequestEvent.Arrived}.
 */
final class ScheduleSystem implements DecisionSystem {

    /** The maximum time of a generation, regardless of the length of its sample. */
    private static final Duration GENERATION_TIMEOUT = Duration.ofMinutes(30);

    /** The maximum time of a scoring. */
    private static final Duration SCORING_TIMEOUT = Duration.ofMinutes(2);

    /** The maximum number of scorings in progress at this node for each scorer. */
    private static final int MAXIMUM_SCORINGS_PER_SCORER = 64;

    /** The assumed number of characters per token. */
    private static final int CHARACTERS_PER_TOKEN = 4;

    /** The shared tables. */
    private final SampleContext context;

    /** The requests in progress. */
    private final SampleRequestTable sampleRequests;

    /** Limits the requests in progress by pool. */
    private final PoolWindow window;

    /** Estimates the length of samples. */
    private final LengthEstimate lengths;

    /** The policy by which samples are scheduled. */
    private final SchedulePolicy policy;

    /** The clock that determines the time windows of request identifiers. */
    private final RequestClock clock;

    /** The number of requests that were started, which makes their identifiers unique. */
    private long requestCount;

    /**
     * Creates a new system.
     *
     * @param context The shared tables.
     * @param sampleRequests The requests in progress.
     * @param window Limits the requests in progress by pool.
     * @param lengths Estimates the length of samples.
     * @param policy The policy by which samples are scheduled.
     * @param clock The clock that determines the time windows of request identifiers.
     */
    ScheduleSystem(
            SampleContext context,
            SampleRequestTable sampleRequests,
            PoolWindow window,
            LengthEstimate lengths,
            SchedulePolicy policy,
            RequestClock clock) {
        this.context = context;
        this.sampleRequests = sampleRequests;
        this.window = window;
        this.lengths = lengths;
        this.policy = policy;
        this.clock = clock;
    }

    /** {@inheritDoc} */
    @Override
    public void run(Tick tick) {
        context.observe(tick);
        if (policy.earlyStop()) {
            sampleRequests.rows().forEach(sampleRequest -> stopIfStale(tick, sampleRequest));
        }
        sampleRequests.takeCancelled().forEach(id -> tick.raise(new RequestEvent.Cancelled(id)));
        Map<TrainerName, List<HeldGroup>> running = running();
        Map<PoolName, Map<TrainerName, Deque<SchedulePolicy.Candidate>>> waiting = new HashMap<>();
        running.forEach((trainer, groups) -> context.trainer(trainer).ifPresent(settings -> {
            score(tick, settings, groups);
            Deque<SchedulePolicy.Candidate> candidates = candidates(tick.now(), trainer, settings, groups);
            if (!candidates.isEmpty()) {
                waiting.computeIfAbsent(settings.pool(), _pool -> new TreeMap<>())
                        .put(trainer, candidates);
            }
        }));
        waiting.forEach((pool, candidates) -> fill(tick, pool, candidates, running));
    }

    /**
     * Finds the groups that this node currently generates and scores.
     *
     * @return The groups by trainer.
     */
    private Map<TrainerName, List<HeldGroup>> running() {
        Map<TrainerName, List<HeldGroup>> running = new TreeMap<>();
        for (HeldGroup group : context.held.view()) {
            if (group.stage() == HeldGroup.Stage.RUNNING) {
                running.computeIfAbsent(group.key().trainer(), _trainer -> new ArrayList<>())
                        .add(group);
            }
        }
        return running;
    }

    /**
     * Stops a generation if its sample is certain to exceed the staleness bound.
     *
     * @param tick The current tick.
     * @param sampleRequest The generation.
     */
    private void stopIfStale(Tick tick, SampleRequest sampleRequest) {
        TrainerName trainer = sampleRequest.key().trainer();
        Optional<TrainerSettings> settings = context.trainer(trainer);
        TrainerProgress progress = context.cursor(trainer).progress();
        if (sampleRequest.scoring()
                || settings.isEmpty()
                || sampleRequest.oldestVersion()
                        >= progress.useVersion() - settings.get().stalenessBound()) {
            return;
        }
        tick.decide(Decision.of(
                "stop",
                sampleRequest.id().toString(),
                Decision.NO_CHOICE,
                "the sample would exceed the staleness bound"));
        context.statistics.discarded(trainer, DiscardReason.STOPPED_EARLY, 1, 0);
        sampleRequests.cancel(sampleRequest);
        context.held.update(
                sampleRequest.key(),
                group -> group.withSlot(
                        sampleRequest.index(),
                        group.slots().get(sampleRequest.index()).withGenerationRetry(tick.now())));
    }

    /**
     * Lists the samples of a trainer whose generation may start, in the order of the policy.
     *
     * @param now The current time.
     * @param trainer The trainer.
     * @param settings The trainer's settings.
     * @param groups The trainer's groups, in the order of their acceptance.
     * @return The samples, in which the one to start first comes first.
     */
    private Deque<SchedulePolicy.Candidate> candidates(
            MonotonicTime now, TrainerName trainer, TrainerSettings settings, List<HeldGroup> groups) {
        long current = currentStep(trainer, groups);
        List<SchedulePolicy.Candidate> candidates = new ArrayList<>();
        long sequence = 0;
        for (HeldGroup group : groups) {
            sequence++;
            if (mayStart(trainer, settings, group.key().step(), current)) {
                addCandidates(now, group, sequence, candidates);
            }
        }
        candidates.sort(policy.order());
        return new ArrayDeque<>(candidates);
    }

    /**
     * Adds the waiting samples of a group.
     *
     * @param now The current time.
     * @param group The group.
     * @param sequence The position of the group in the order of acceptance.
     * @param candidates The list to which the samples are added.
     */
    private void addCandidates(
            MonotonicTime now, HeldGroup group, long sequence, List<SchedulePolicy.Candidate> candidates) {
        int expected = lengths.estimate(group.specification());
        int unfinished = group.unfinished();
        boolean groupStarted = group.hasStarted();
        for (int index = 0; index < group.slots().size(); index++) {
            Slot slot = group.slots().get(index);
            if (slot.phase() == Slot.Phase.WAITING && !now.isBefore(slot.notBefore())) {
                candidates.add(
                        new SchedulePolicy.Candidate(group.key(), index, sequence, groupStarted, unfinished, expected));
            }
        }
    }

    /**
     * Returns the step for which a trainer currently pulls samples.
     *
     * @param trainer The trainer.
     * @param groups The trainer's groups that this node generates.
     * @return The step.
     */
    private long currentStep(TrainerName trainer, List<HeldGroup> groups) {
        long earliest =
                groups.stream().mapToLong(group -> group.key().step()).min().orElse(0);
        return context.cursor(trainer).progress().currentStep(earliest);
    }

    /**
     * Returns whether samples of a step may start now, because they are expected to be used within the staleness bound.
     *
     * @param trainer The trainer.
     * @param settings The trainer's settings.
     * @param step The step.
     * @param current The step for which the trainer currently pulls samples.
     * @return {@code true} if samples of the step may start.
     */
    private boolean mayStart(TrainerName trainer, TrainerSettings settings, long step, long current) {
        TrainerProgress progress = context.cursor(trainer).progress();
        long oldestUseful = progress.expectedUse(step, current) - settings.stalenessBound();
        return step <= current || (policy.workAhead() && progress.newestVersion() >= oldestUseful);
    }

    /**
     * Starts generations in a pool while its window has capacity.
     *
     * @param tick The current tick.
     * @param pool The pool.
     * @param waiting The waiting samples by trainer.
     * @param running The groups that this node generates, by trainer.
     */
    private void fill(
            Tick tick,
            PoolName pool,
            Map<TrainerName, Deque<SchedulePolicy.Candidate>> waiting,
            Map<TrainerName, List<HeldGroup>> running) {
        Map<TrainerName, Integer> inProgress = new HashMap<>();
        for (SampleRequest sampleRequest : sampleRequests.rows()) {
            if (sampleRequest.pool().equals(pool) && !sampleRequest.scoring()) {
                inProgress.merge(sampleRequest.key().trainer(), 1, Integer::sum);
            }
        }
        int capacity = window.size(pool) - sampleRequests.count(pool);
        while (capacity > 0 && !waiting.isEmpty()) {
            TrainerName trainer = nextTrainer(waiting, inProgress);
            Deque<SchedulePolicy.Candidate> candidates = waiting.get(trainer);
            generate(tick, candidates.removeFirst(), currentStep(trainer, running.get(trainer)));
            inProgress.merge(trainer, 1, Integer::sum);
            if (candidates.isEmpty()) {
                waiting.remove(trainer);
            }
            capacity--;
        }
    }

    /**
     * Selects the trainer whose sample is started next: the one furthest below its share, or the one whose sample is
     * first in the policy's order if trainers do not share by weight. The share of a trainer without waiting samples is
     * available to the others.
     *
     * @param waiting The waiting samples by trainer.
     * @param inProgress The number of generations in progress by trainer.
     * @return The trainer.
     */
    private TrainerName nextTrainer(
            Map<TrainerName, Deque<SchedulePolicy.Candidate>> waiting, Map<TrainerName, Integer> inProgress) {
        Comparator<TrainerName> order = policy.sharedByWeight()
                ? Comparator.comparingDouble(trainer -> relativeUse(trainer, inProgress))
                : Comparator.comparing(trainer -> waiting.get(trainer).getFirst(), policy.order());
        return waiting.keySet().stream()
                .min(order.thenComparing(Comparator.naturalOrder()))
                .orElseThrow();
    }

    /**
     * Computes the number of a trainer's generations relative to its weight, including one more generation.
     *
     * @param trainer The trainer.
     * @param inProgress The number of generations in progress by trainer.
     * @return The number of generations divided by the weight.
     */
    private double relativeUse(TrainerName trainer, Map<TrainerName, Integer> inProgress) {
        int weight = context.trainer(trainer).map(TrainerSettings::weight).orElse(1);
        return (inProgress.getOrDefault(trainer, 0) + 1.0) / weight;
    }

    /**
     * Starts a generation.
     *
     * @param tick The current tick.
     * @param candidate The sample.
     * @param current The step for which the trainer currently pulls samples.
     */
    private void generate(Tick tick, SchedulePolicy.Candidate candidate, long current) {
        HeldGroup group = context.held.find(candidate.key()).orElseThrow();
        TrainerName trainer = candidate.key().trainer();
        TrainerSettings settings = context.trainer(trainer).orElseThrow();
        TrainerProgress progress = context.cursor(trainer).progress();
        RequestId id = nextId(tick.now(), candidate.key(), candidate.index());
        long step = candidate.key().step();
        boolean ahead = step > current;
        GroupSpecification specification = group.specification();
        Request request = new Request(
                id,
                settings.pool(),
                new CallerName(trainer.value()),
                ahead ? PriorityClass.BATCH : specification.priority(),
                true,
                false,
                tick.now().plus(GENERATION_TIMEOUT),
                "POST",
                "/v1/completions",
                "application/json",
                CompletionBody.generation(settings.model(), specification, candidate.index(), seed(id)),
                Optional.of(settings.model()),
                Math.max(0, progress.expectedUse(step, current) - settings.stalenessBound()),
                PrefixHashes.of(specification.prompt()),
                specification.prompt().length() / CHARACTERS_PER_TOKEN + 1,
                candidate.expectedTokens());
        long newest = progress.newestVersion();
        Slot slot = group.slots().get(candidate.index()).withGeneration(id, tick.now());
        context.held.put(group.key(), group.withSlot(candidate.index(), slot));
        sampleRequests.put(new SampleRequest(id, group.key(), candidate.index(), false, settings.pool(), newest));
        tick.decide(Decision.of(
                "generate",
                group.key() + "/" + candidate.index(),
                id.toString(),
                "step " + step + ", " + candidate.unfinished() + " unfinished samples, expected length "
                        + candidate.expectedTokens() + " tokens"));
        tick.raise(new RequestEvent.Arrived(request));
    }

    /**
     * Starts scorings of a trainer's generated samples up to {@link #MAXIMUM_SCORINGS_PER_SCORER}.
     *
     * @param tick The current tick.
     * @param settings The trainer's settings.
     * @param groups The trainer's groups.
     */
    private void score(Tick tick, TrainerSettings settings, List<HeldGroup> groups) {
        if (settings.scorer().isEmpty()) {
            return;
        }
        PoolName scorer = settings.scorer().get();
        int capacity = MAXIMUM_SCORINGS_PER_SCORER - sampleRequests.count(scorer);
        for (HeldGroup group : groups) {
            for (int index = 0; index < group.slots().size() && capacity > 0; index++) {
                Slot slot = group.slots().get(index);
                if (slot.phase() == Slot.Phase.UNSCORED && !tick.now().isBefore(slot.notBefore())) {
                    score(tick, settings, scorer, group.key(), index);
                    capacity--;
                }
            }
        }
    }

    /**
     * Starts a scoring.
     *
     * @param tick The current tick.
     * @param settings The trainer's settings.
     * @param scorer The pool of the scorer.
     * @param key The identity of the group.
     * @param index The index of the sample in its group.
     */
    private void score(Tick tick, TrainerSettings settings, PoolName scorer, GroupKey key, int index) {
        HeldGroup group = context.held.find(key).orElseThrow();
        Slot slot = group.slots().get(index);
        RequestId id = nextId(tick.now(), key, index);
        Sample sample = slot.sample().orElseThrow();
        Request request = new Request(
                id,
                scorer,
                new CallerName(key.trainer().value()),
                PriorityClass.NORMAL,
                settings.scorerRepeatable(),
                false,
                tick.now().plus(SCORING_TIMEOUT),
                "POST",
                "/score",
                "application/json",
                CompletionBody.scoring(group.specification(), sample, seed(id)),
                Optional.empty(),
                0,
                List.of(),
                0,
                0);
        context.held.put(key, group.withSlot(index, slot.withScoring(id)));
        sampleRequests.put(new SampleRequest(id, key, index, true, scorer, 0));
        tick.raise(new RequestEvent.Arrived(request));
    }

    /**
     * Creates the identifier of a request for a sample. Its home is this incarnation of this node, so no other node
     * ever sends the request.
     *
     * @param now The current time.
     * @param key The identity of the group.
     * @param index The index of the sample in its group.
     * @return The identifier.
     */
    private RequestId nextId(MonotonicTime now, GroupKey key, int index) {
        requestCount++;
        String slot = key.step() + "-" + key.group() + "-" + index;
        return new RequestId(clock.prefix(context.self(), now) + "sample-" + requestCount + "-" + slot);
    }

    /**
     * Derives a seed from a request's identifier.
     *
     * @param id The identifier.
     * @return A positive number.
     */
    private static long seed(RequestId id) {
        return Hashing.farmHashFingerprint64()
                        .hashString(id.value(), StandardCharsets.UTF_8)
                        .asLong()
                >>> 33;
    }
}
