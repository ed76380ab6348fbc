package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import io.yuccaswitch.core.route.Route;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Has the whole outputs of items scored by plain services. An item's output is listed only with its score, so one late
 * score holds back its whole group: an attempt that stays away is joined by another one at another endpoint, and the
 * first answer counts.
 */
final class ScoringSystem implements DecisionSystem {

    /**
     * The share of the route's time for a useful answer after which an attempt is joined by another one. Half of it
     * leaves the other half for the second one.
     */
    private static final double HEDGE_SHARE = 0.5;

    /**
     * The largest number of attempts of one request in progress. Two endpoints that hang at once, as when a zone is cut
     * off, still leave one that answers.
     */
    private static final int MAXIMUM_IN_PROGRESS = 3;

    /**
     * How long the route of a scoring request may be missing before its item is given up: the time within which a
     * configuration is in force at all nodes.
     */
    private static final Duration ROUTE_PATIENCE = Duration.ofSeconds(5);

    /** The wait before the third attempt in a row, which doubles with each further one. The second is made at once. */
    private static final Duration FIRST_WAIT = Duration.ofMillis(50);

    /**
     * The longest wait between attempts in a row. It answers a service that is gone or full for all: without a wait
     * each request would be sent again as fast as it is refused, some hundred times a second.
     */
    private static final Duration LONGEST_WAIT = Duration.ofMillis(400);

    /** The least time that is worth an attempt. */
    private static final Duration LEAST_TIME = Duration.ofMillis(5);

    /** The tables of the batch system. */
    private final BatchState state;

    /**
     * Creates a system without attempts.
     *
     * @param state The tables of the batch system.
     */
    ScoringSystem(BatchState state) {
        this.state = state;
    }

    @Override
    public void run(Tick tick) {
        tick.events(BatchEvent.ScoringEnded.class).forEach(ended -> take(tick, ended));
        List<Outstanding> outstanding = new ArrayList<>();
        for (RunningJob job : state.running().view()) {
            collect(job, outstanding);
        }
        if (outstanding.isEmpty()
                || state.routes().inForce().isEmpty()
                || !state.registry().allowsDispatch(tick.now())) {
            return;
        }
        outstanding.sort(Comparator.comparing(Outstanding::left)
                .thenComparing(entry -> entry.scoring().since()));
        state.scoringLoads().retain(state.registry().working());
        outstanding.forEach(entry -> advance(tick, entry));
    }

    /**
     * Collects the items of a job whose scores are outstanding.
     *
     * @param job The job.
     * @param outstanding The list to add to.
     */
    private static void collect(RunningJob job, List<Outstanding> outstanding) {
        Map<String, Integer> left = new HashMap<>();
        for (RunningItem item : job.items()) {
            if (item.result().isEmpty()) {
                left.merge(item.item().group(), 1, Integer::sum);
            }
        }
        for (RunningItem item : job.items()) {
            item.scoring()
                    .ifPresent(scoring -> outstanding.add(new Outstanding(
                            job, item, scoring, left.get(item.item().group()))));
        }
    }

    /**
     * Makes the next attempt of a request, if it is time for one.
     *
     * @param tick The tick.
     * @param entry The item.
     */
    private void advance(Tick tick, Outstanding entry) {
        ItemScoring scoring = entry.scoring();
        Optional<Route> route =
                state.routes().find(scoring.request().host(), scoring.request().routePath());
        Optional<MonotonicTime> missing = scoring.noteRoute(route.isPresent(), tick.now());
        if (missing.isPresent()) {
            if (tick.now().since(missing.get()).compareTo(ROUTE_PATIENCE) >= 0) {
                giveUp(tick, entry, "no route serves its scoring request");
            }
            return;
        }
        if (!isDue(tick, entry, route.get())) {
            return;
        }
        Duration left = entry.job().giveUpAt().since(tick.now());
        Duration allowed =
                left.compareTo(route.get().timeout()) < 0 ? left : route.get().timeout();
        if (allowed.compareTo(LEAST_TIME) < 0) {
            return;
        }
        List<RegisteredEndpoint> working = working(tick, route.get());
        List<EndpointName> names =
                working.stream().map(RegisteredEndpoint::name).toList();
        if (state.quarantine()
                .refusal(tick, scoring.request().id(), scoring.request()::fingerprint, names)
                .isEmpty()) {
            choose(tick, scoring, working).ifPresent(endpoint -> start(tick, entry, endpoint, allowed));
        }
    }

    /**
     * Returns whether another attempt is to be made now.
     *
     * @param tick The tick.
     * @param entry The item.
     * @param route The route of the scoring request.
     * @return {@code true} if none is in progress, or if those in progress stay away for too long.
     */
    private boolean isDue(Tick tick, Outstanding entry, Route route) {
        List<ItemScoring.Attempt> running = entry.scoring().running();
        if (running.isEmpty()) {
            return entry.scoring().mayBegin(tick.now());
        }
        boolean allowed =
                running.size() < MAXIMUM_IN_PROGRESS && entry.scoring().runs() < Math.max(1, route.maximumAttempts());
        ItemScoring.Attempt newest = running.get(running.size() - 1);
        Duration patience = Duration.ofNanos((long) (route.latencyTarget().toNanos() * HEDGE_SHARE))
                .multipliedBy(running.size());
        return allowed
                && tick.now().since(newest.begunAt()).compareTo(patience) >= 0
                && state.quarantine().allowsRetry(entry.scoring().request()::fingerprint);
    }

    /**
     * Returns the endpoints that may get a request.
     *
     * @param tick The tick.
     * @param route The route of the scoring request.
     * @return The working endpoints of one of the route's pools.
     */
    private List<RegisteredEndpoint> working(Tick tick, Route route) {
        Optional<PoolName> pool = route.pick(tick.random().nextDouble());
        return pool.map(name -> state.registry().working(name)).orElseGet(List::of);
    }

    /**
     * Chooses the endpoint of an attempt.
     *
     * @param tick The tick.
     * @param scoring The scoring.
     * @param working The endpoints that may get the request.
     * @return The endpoint, or empty if there is none with a place.
     */
    private Optional<RegisteredEndpoint> choose(Tick tick, ItemScoring scoring, List<RegisteredEndpoint> working) {
        Set<EndpointName> busy = scoring.running().stream()
                .map(attempt -> attempt.endpoint().name())
                .collect(Collectors.toSet());
        return state.scoringLoads().choose(working, busy, tick.now());
    }

    /**
     * Starts an attempt.
     *
     * @param tick The tick.
     * @param entry The item.
     * @param endpoint The endpoint.
     * @param allowed How long the attempt may take.
     */
    private void start(Tick tick, Outstanding entry, RegisteredEndpoint endpoint, Duration allowed) {
        ItemScoring scoring = entry.scoring();
        boolean hedges = !scoring.running().isEmpty();
        scoring.running().forEach(attempt -> state.scoringLoads().late(attempt, tick.now()));
        int attempt = scoring.begin(endpoint, tick.now());
        state.scoringLoads().begin(endpoint);
        BatchItem item = entry.item().item();
        tick.emit(new BatchEffect.Score(
                entry.job().job().id(),
                item.id(),
                attempt,
                scoring.request(),
                endpoint,
                allowed,
                state.quarantine().isInDoubt(scoring.request()::fingerprint)));
        tick.decide(Decision.of(
                "batch-score",
                item.id(),
                endpoint.name().value(),
                "scoring request " + scoring.request().id() + " attempt " + attempt
                        + (hedges ? " beside a late one" : "") + ", items left of its group " + entry.left()));
    }

    /**
     * Takes the end of an attempt.
     *
     * @param tick The tick.
     * @param ended The end of the attempt.
     */
    private void take(Tick tick, BatchEvent.ScoringEnded ended) {
        Optional<RunningJob> job = state.running().find(ended.id());
        Optional<RunningItem> item = job.flatMap(found -> found.find(ended.item()));
        Optional<ItemScoring> scoring = item.flatMap(RunningItem::scoring);
        Optional<ItemScoring.Attempt> attempt = scoring.flatMap(found -> found.end(ended.attempt()));
        if (attempt.isEmpty()) {
            return;
        }
        RegisteredEndpoint endpoint = attempt.get().endpoint();
        state.scoringLoads().end(endpoint);
        state.scoringLoads().measure(attempt.get(), ended.outcome(), tick.now());
        ended.load().ifPresent(load -> state.scoringLoads().tell(endpoint, load, tick.now()));
        Outstanding entry = new Outstanding(job.get(), item.get(), scoring.get(), 0);
        if (ended.outcome() instanceof ScoringOutcome.Scored scored) {
            complete(tick, entry, attempt.get(), scored.score());
        } else if (ended.outcome() instanceof ScoringOutcome.Failed) {
            fail(tick, entry, attempt.get());
        } else if (ended.outcome() instanceof ScoringOutcome.Refused refused) {
            again(tick, entry, attempt.get(), refused.reason());
        } else if (ended.outcome() instanceof ScoringOutcome.Interrupted interrupted) {
            scoring.get().mayHaveRun();
            ScoringRequest request = scoring.get().request();
            state.quarantine()
                    .lose(tick, request::fingerprint, request.describe(), endpoint.name(), interrupted.loss());
            again(tick, entry, attempt.get(), interrupted.reason());
        }
    }

    /**
     * Takes a score.
     *
     * @param tick The tick.
     * @param entry The item.
     * @param attempt The attempt that brought it.
     * @param score The score.
     */
    private void complete(Tick tick, Outstanding entry, ItemScoring.Attempt attempt, String score) {
        ItemScoring scoring = entry.scoring();
        state.quarantine().serve(tick, scoring.request()::fingerprint, attempt.number() == 1);
        state.breakOffScoring(tick, entry.job().job().id(), entry.item());
        entry.item().finish(scoring.unscored().withScore(score));
        tick.decide(Decision.of(
                "batch-score",
                entry.item().item().id(),
                "scored",
                "scoring request " + scoring.request().id() + " attempt " + attempt.number() + " at "
                        + attempt.endpoint().name().value() + ", "
                        + tick.now().since(scoring.since()).toMillis() + " ms after the output was whole"));
    }

    /**
     * Takes a failure of an endpoint, and gives the item up after as many as the route allows, such that its group does
     * not wait for it.
     *
     * @param tick The tick.
     * @param entry The item.
     * @param attempt The attempt.
     */
    private void fail(Tick tick, Outstanding entry, ItemScoring.Attempt attempt) {
        ScoringRequest request = entry.scoring().request();
        entry.scoring().mayHaveRun();
        int failures = entry.scoring().fail();
        int allowed = state.routes()
                .find(request.host(), request.routePath())
                .map(Route::maximumAttempts)
                .orElse(1);
        if (failures >= Math.max(1, allowed)) {
            giveUp(tick, entry, "its scoring request " + request.id() + " failed " + failures + " times");
            return;
        }
        again(tick, entry, attempt, "the endpoint failed");
    }

    /**
     * Lets a request wait for another attempt.
     *
     * @param tick The tick.
     * @param entry The item.
     * @param attempt The attempt that ended.
     * @param reason Why.
     */
    private static void again(Tick tick, Outstanding entry, ItemScoring.Attempt attempt, String reason) {
        int misses = entry.scoring().miss();
        entry.scoring().waitUntil(tick.now().plus(pause(misses, tick.random().nextDouble())));
        tick.decide(Decision.of(
                "batch-score",
                entry.item().item().id(),
                "wait",
                "scoring request " + entry.scoring().request().id() + " attempt " + attempt.number() + " at "
                        + attempt.endpoint().name().value() + ": " + reason));
    }

    /**
     * Returns how long the next attempt waits.
     *
     * @param misses The number of attempts in a row that ended without a score.
     * @param drawn A number from 0 to below 1, by which requests that were refused together come back spread.
     * @return The time.
     */
    private static Duration pause(int misses, double drawn) {
        if (misses < 2) {
            return Duration.ZERO;
        }
        Duration doubled = FIRST_WAIT.multipliedBy(1L << Math.min(misses - 2, 4));
        Duration longest = doubled.compareTo(LONGEST_WAIT) < 0 ? doubled : LONGEST_WAIT;
        return Duration.ofNanos((long) (longest.toNanos() * (0.5 + drawn / 2)));
    }

    /**
     * Gives an item up.
     *
     * @param tick The tick.
     * @param entry The item.
     * @param reason Why.
     */
    private void giveUp(Tick tick, Outstanding entry, String reason) {
        state.breakOffScoring(tick, entry.job().job().id(), entry.item());
        String item = entry.item().item().id();
        entry.item().finish(BatchResult.givenUp(item));
        tick.decide(Decision.of("batch-item", item, "given up", reason));
    }

    /**
     * An item whose score is outstanding.
     *
     * @param job The job.
     * @param item The item.
     * @param scoring The scoring.
     * @param left How many items of its group have no result. Those of groups that are nearly whole go first.
     */
    private record Outstanding(RunningJob job, RunningItem item, ItemScoring scoring, int left) {}
}
