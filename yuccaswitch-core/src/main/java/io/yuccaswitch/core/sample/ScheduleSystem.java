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
 * Begins generations of the groups that this node drives, and stops those whose samples can only be stale. It runs
 * before the request path, which it hands requests to as {@link RequestEvent.Arrived}.
 */
final class ScheduleSystem implements DecisionSystem {

    /** The time in which a generation must end, however long its sample is. */
    private static final Duration GENERATION_DEADLINE = Duration.ofMinutes(30);

    /** The time in which a scoring must end. */
    private static final Duration SCORING_DEADLINE = Duration.ofMinutes(2);

    /** The largest number of scorings in progress on this node by scorer. */
    private static final int MAXIMUM_SCORINGS = 64;

    /** The assumed number of characters of a token. */
    private static final int CHARACTERS_PER_TOKEN = 4;

    /** The shared tables. */
    private final SampleContext context;

    /** The requests in progress. */
    private final FlightTable flights;

    /** Bounds the requests in progress. */
    private final PoolWindow window;

    /** Expects the length of samples. */
    private final LengthEstimate lengths;

    /** The order of samples. */
    private final SchedulePolicy policy;

    /** The clock that counts the windows of request ids. */
    private final RequestClock clock;

    /** The number of requests that were begun, for identifiers. */
    private long begun;

    /**
     * Creates a new system.
     *
     * @param context The shared tables.
     * @param flights The requests in progress.
     * @param window Bounds the requests in progress.
     * @param lengths Expects the length of samples.
     * @param policy The order of samples.
     * @param clock The clock that counts the windows of request ids.
     */
    ScheduleSystem(
            SampleContext context,
            FlightTable flights,
            PoolWindow window,
            LengthEstimate lengths,
            SchedulePolicy policy,
            RequestClock clock) {
        this.context = context;
        this.flights = flights;
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
            flights.rows().forEach(flight -> stopIfStale(tick, flight));
        }
        flights.takeCancelled().forEach(id -> tick.raise(new RequestEvent.Cancelled(id)));
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
     * Finds the groups that this node has generated and scored.
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
     * Stops a generation whose sample can only be past the staleness bound.
     *
     * @param tick The current tick.
     * @param flight The generation.
     */
    private void stopIfStale(Tick tick, Flight flight) {
        TrainerName trainer = flight.key().trainer();
        Optional<TrainerSettings> settings = context.trainer(trainer);
        TrainerProgress progress = context.cursor(trainer).progress();
        if (flight.scoring()
                || settings.isEmpty()
                || flight.oldestVersion()
                        >= progress.useVersion() - settings.get().stalenessBound()) {
            return;
        }
        tick.decide(Decision.of("stop", flight.id().toString(), Decision.NO_CHOICE, "the sample can only be stale"));
        context.statistics.discarded(trainer, DiscardReason.STOPPED_EARLY, 1, 0);
        flights.cancel(flight);
        context.held.update(
                flight.key(),
                group -> group.withSlot(
                        flight.index(), group.slots().get(flight.index()).withGenerationAgain(tick.now())));
    }

    /**
     * Lists the samples of a trainer that may begin, in their order.
     *
     * @param now The current time.
     * @param trainer The trainer.
     * @param settings The trainer's settings.
     * @param groups The trainer's groups, in the order of their acceptance.
     * @return The samples, first to begin first.
     */
    private Deque<SchedulePolicy.Candidate> candidates(
            MonotonicTime now, TrainerName trainer, TrainerSettings settings, List<HeldGroup> groups) {
        long current = currentStep(trainer, groups);
        List<SchedulePolicy.Candidate> candidates = new ArrayList<>();
        long sequence = 0;
        for (HeldGroup group : groups) {
            sequence++;
            if (mayBegin(trainer, settings, group.key().step(), current)) {
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
     * @param sequence The number that counts groups in the order of their acceptance.
     * @param candidates The samples to add to.
     */
    private void addCandidates(
            MonotonicTime now, HeldGroup group, long sequence, List<SchedulePolicy.Candidate> candidates) {
        int expected = lengths.expect(group.specification());
        int unfinished = group.unfinished();
        boolean groupBegun = group.begun();
        for (int index = 0; index < group.slots().size(); index++) {
            Slot slot = group.slots().get(index);
            if (slot.phase() == Slot.Phase.WAITING && !now.isBefore(slot.notBefore())) {
                candidates.add(
                        new SchedulePolicy.Candidate(group.key(), index, sequence, groupBegun, unfinished, expected));
            }
        }
    }

    /**
     * Returns the step that a trainer takes samples for.
     *
     * @param trainer The trainer.
     * @param groups The trainer's groups that are generated here.
     * @return The step.
     */
    private long currentStep(TrainerName trainer, List<HeldGroup> groups) {
        long earliest =
                groups.stream().mapToLong(group -> group.key().step()).min().orElse(0);
        return context.cursor(trainer).progress().currentStep(earliest);
    }

    /**
     * Returns whether samples of a step may begin now, such that they are expected to be used within the bound.
     *
     * @param trainer The trainer.
     * @param settings The trainer's settings.
     * @param step The step.
     * @param current The step that the trainer takes samples for.
     * @return {@code true} if samples of the step may begin.
     */
    private boolean mayBegin(TrainerName trainer, TrainerSettings settings, long step, long current) {
        TrainerProgress progress = context.cursor(trainer).progress();
        long oldestUseful = progress.expectedUse(step, current) - settings.stalenessBound();
        return step <= current || (policy.workAhead() && progress.newestVersion() >= oldestUseful);
    }

    /**
     * Begins generations of one pool while there is room.
     *
     * @param tick The current tick.
     * @param pool The pool.
     * @param waiting The waiting samples by trainer.
     * @param running The groups that are generated here by trainer.
     */
    private void fill(
            Tick tick,
            PoolName pool,
            Map<TrainerName, Deque<SchedulePolicy.Candidate>> waiting,
            Map<TrainerName, List<HeldGroup>> running) {
        Map<TrainerName, Integer> inProgress = new HashMap<>();
        for (Flight flight : flights.rows()) {
            if (flight.pool().equals(pool) && !flight.scoring()) {
                inProgress.merge(flight.key().trainer(), 1, Integer::sum);
            }
        }
        int room = window.size(pool) - flights.count(pool);
        while (room > 0 && !waiting.isEmpty()) {
            TrainerName trainer = next(waiting, inProgress);
            Deque<SchedulePolicy.Candidate> candidates = waiting.get(trainer);
            generate(tick, candidates.removeFirst(), currentStep(trainer, running.get(trainer)));
            inProgress.merge(trainer, 1, Integer::sum);
            if (candidates.isEmpty()) {
                waiting.remove(trainer);
            }
            room--;
        }
    }

    /**
     * Picks the trainer whose sample begins next: the one furthest below its share. A trainer without waiting samples
     * lends its share to the others.
     *
     * @param waiting The waiting samples by trainer.
     * @param inProgress The number of generations in progress by trainer.
     * @return The trainer.
     */
    private TrainerName next(
            Map<TrainerName, Deque<SchedulePolicy.Candidate>> waiting, Map<TrainerName, Integer> inProgress) {
        Comparator<TrainerName> order = policy.sharedByWeight()
                ? Comparator.comparingDouble(trainer -> share(trainer, inProgress))
                : Comparator.comparing(trainer -> waiting.get(trainer).getFirst(), policy.order());
        return waiting.keySet().stream()
                .min(order.thenComparing(Comparator.naturalOrder()))
                .orElseThrow();
    }

    /**
     * Computes how much of its share a trainer would use with one more generation.
     *
     * @param trainer The trainer.
     * @param inProgress The number of generations in progress by trainer.
     * @return The number of generations by weight.
     */
    private double share(TrainerName trainer, Map<TrainerName, Integer> inProgress) {
        int weight = context.trainer(trainer).map(TrainerSettings::weight).orElse(1);
        return (inProgress.getOrDefault(trainer, 0) + 1.0) / weight;
    }

    /**
     * Begins a generation.
     *
     * @param tick The current tick.
     * @param candidate The sample.
     * @param current The step that the trainer takes samples for.
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
                tick.now().plus(GENERATION_DEADLINE),
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
        flights.put(new Flight(id, group.key(), candidate.index(), false, settings.pool(), newest));
        tick.decide(Decision.of(
                "generate",
                group.key() + "/" + candidate.index(),
                id.toString(),
                "step " + step + ", " + candidate.unfinished() + " samples unfinished, expects "
                        + candidate.expectedTokens() + " tokens"));
        tick.raise(new RequestEvent.Arrived(request));
    }

    /**
     * Begins scorings of a trainer's generated samples while there is room.
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
        int room = MAXIMUM_SCORINGS - flights.count(scorer);
        for (HeldGroup group : groups) {
            for (int index = 0; index < group.slots().size() && room > 0; index++) {
                Slot slot = group.slots().get(index);
                if (slot.phase() == Slot.Phase.UNSCORED && !tick.now().isBefore(slot.notBefore())) {
                    score(tick, settings, scorer, group.key(), index);
                    room--;
                }
            }
        }
    }

    /**
     * Begins a scoring.
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
                tick.now().plus(SCORING_DEADLINE),
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
        flights.put(new Flight(id, key, index, true, scorer, 0));
        tick.raise(new RequestEvent.Arrived(request));
    }

    /**
     * Creates the identifier of a request for a sample. It names this life of this node as its home, such that no other
     * node ever sends it.
     *
     * @param now The current time.
     * @param key The identity of the group.
     * @param index The index of the sample in its group.
     * @return The identifier.
     */
    private RequestId nextId(MonotonicTime now, GroupKey key, int index) {
        begun++;
        String slot = key.step() + "-" + key.group() + "-" + index;
        return new RequestId(clock.prefix(context.self(), now) + "sample-" + begun + "-" + slot);
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
