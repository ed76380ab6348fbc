package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import io.yuccaswitch.core.route.Route;
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
 * Requests the scores of complete outputs from plain services. An item's output is listed only with its score, so one
 * late score delays its whole group: a late attempt is hedged by another one at another endpoint, and the first answer
 * is used.
 */
final class ScoringSystem implements DecisionSystem {

    /**
     * The share of the route's latency target after which an attempt is hedged by another one. Half of the target
     * leaves the other half for the second attempt.
     */
    private static final double HEDGE_DELAY_SHARE = 0.5;

    /**
     * The maximum number of concurrent attempts of one request. If two endpoints hang at the same time, such as when an
     * availability zone is partitioned, one can still answer.
     */
    private static final int MAXIMUM_ATTEMPTS_IN_PROGRESS = 3;

    /**
     * The backoff before the third consecutive attempt, which doubles with each further one. The second attempt is made
     * immediately.
     */
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(50);

    /**
     * The maximum backoff between consecutive attempts. It limits the load on a service that is unavailable or full:
     * without a backoff each request would be resent as fast as it is refused, some hundred times a second.
     */
    private static final Duration MAXIMUM_BACKOFF = Duration.ofMillis(400);

    /** The minimum remaining time for which an attempt is made. */
    private static final Duration MINIMUM_ATTEMPT_TIME = Duration.ofMillis(5);

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
        tick.events(BatchEvent.ScoringEnded.class).forEach(ended -> handle(tick, ended));
        List<Outstanding> outstanding = new ArrayList<>();
        for (RunningJob job : state.running().view()) {
            collect(job, outstanding);
        }
        if (outstanding.isEmpty()
                || state.routes().active().isEmpty()
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
     * Starts the next attempt of a request if one is due.
     *
     * @param tick The tick.
     * @param entry The item.
     */
    private void advance(Tick tick, Outstanding entry) {
        ItemScoring scoring = entry.scoring();
        Optional<Route> route =
                state.routes().find(scoring.request().host(), scoring.request().routePath());
        // A missing route may be added again, so its item waits for it until the deadline of the job.
        if (route.isEmpty() || !isDue(tick, entry, route.get())) {
            return;
        }
        Duration left = entry.job().deadline().since(tick.now());
        Duration allowed =
                left.compareTo(route.get().timeout()) < 0 ? left : route.get().timeout();
        if (allowed.compareTo(MINIMUM_ATTEMPT_TIME) < 0) {
            return;
        }
        List<RegisteredEndpoint> working = working(tick, route.get());
        if (scoring.losses().mayStart(tick.now(), () -> isLast(working))) {
            choose(tick, scoring, working).ifPresent(endpoint -> start(tick, entry, endpoint, allowed));
        }
    }

    /**
     * Returns whether another attempt is due.
     *
     * @param tick The tick.
     * @param entry The item.
     * @param route The route of the scoring request.
     * @return {@code true} if none is in progress and the backoff has passed, or if those in progress are late.
     */
    private boolean isDue(Tick tick, Outstanding entry, Route route) {
        List<ItemScoring.Attempt> running = entry.scoring().running();
        if (running.isEmpty()) {
            return entry.scoring().mayBegin(tick.now());
        }
        boolean allowed = running.size() < MAXIMUM_ATTEMPTS_IN_PROGRESS
                && entry.scoring().possibleRuns() < Math.max(1, route.maximumAttempts());
        ItemScoring.Attempt newest = running.get(running.size() - 1);
        Duration hedgeDelay = Duration.ofNanos((long) (route.latencyTarget().toNanos() * HEDGE_DELAY_SHARE))
                .multipliedBy(running.size());
        return allowed
                && tick.now().since(newest.startedAt()).compareTo(hedgeDelay) >= 0
                && entry.scoring().losses().allowsConcurrentAttempts();
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
     * Returns whether at most one of the endpoints that may get a request is left.
     *
     * @param working The endpoints.
     * @return {@code true} if one is left or none.
     */
    private boolean isLast(List<RegisteredEndpoint> working) {
        return state.quarantine()
                .isLast(working.stream().map(RegisteredEndpoint::name).toList());
    }

    /**
     * Chooses the endpoint of an attempt.
     *
     * @param tick The tick.
     * @param scoring The scoring.
     * @param working The endpoints that may get the request.
     * @return The endpoint, or empty if none has a free slot.
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
     * @param allowed The time allowed for the attempt.
     */
    private void start(Tick tick, Outstanding entry, RegisteredEndpoint endpoint, Duration allowed) {
        ItemScoring scoring = entry.scoring();
        boolean hedges = !scoring.running().isEmpty();
        scoring.running().forEach(attempt -> state.scoringLoads().recordLate(attempt, tick.now()));
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
                scoring.losses().hasLosses()));
        tick.decide(Decision.of(
                "batch-score",
                item.id(),
                endpoint.name().value(),
                "scoring request " + scoring.request().id() + " attempt " + attempt
                        + (hedges ? " concurrent with a late one" : "") + ", items left in its group " + entry.left()));
    }

    /**
     * Handles the end of an attempt.
     *
     * @param tick The tick.
     * @param ended The end of the attempt.
     */
    private void handle(Tick tick, BatchEvent.ScoringEnded ended) {
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
        ended.load().ifPresent(load -> state.scoringLoads().recordLoad(endpoint, load, tick.now()));
        Outstanding entry = new Outstanding(job.get(), item.get(), scoring.get(), 0);
        if (ended.outcome() instanceof ScoringOutcome.Scored scored) {
            complete(tick, entry, attempt.get(), scored.score());
        } else if (ended.outcome() instanceof ScoringOutcome.Failed) {
            fail(tick, entry, attempt.get());
        } else if (ended.outcome() instanceof ScoringOutcome.Refused refused) {
            retry(tick, entry, attempt.get(), refused.reason());
        } else if (ended.outcome() instanceof ScoringOutcome.Interrupted interrupted) {
            scoring.get().countPossibleRun();
            scoring.get().losses().record(interrupted.loss(), tick.now());
            state.quarantine().recordEnd(tick, endpoint.name(), interrupted.loss());
            retry(tick, entry, attempt.get(), interrupted.reason());
        }
    }

    /**
     * Completes an item with its score.
     *
     * @param tick The tick.
     * @param entry The item.
     * @param attempt The attempt that supplied it.
     * @param score The score.
     */
    private void complete(Tick tick, Outstanding entry, ItemScoring.Attempt attempt, String score) {
        ItemScoring scoring = entry.scoring();
        state.cancelScoring(tick, entry.job().job().id(), entry.item());
        entry.item().finish(scoring.unscored().withScore(score));
        tick.decide(Decision.of(
                "batch-score",
                entry.item().item().id(),
                "scored",
                "scoring request " + scoring.request().id() + " attempt " + attempt.number() + " at "
                        + attempt.endpoint().name().value() + ", "
                        + tick.now().since(scoring.since()).toMillis() + " ms after the output was complete"));
    }

    /**
     * Handles a failure of an endpoint, and abandons the item once the failures reach the number of attempts that the
     * route allows, so that its group does not wait for it.
     *
     * @param tick The tick.
     * @param entry The item.
     * @param attempt The attempt.
     */
    private void fail(Tick tick, Outstanding entry, ItemScoring.Attempt attempt) {
        ScoringRequest request = entry.scoring().request();
        entry.scoring().countPossibleRun();
        int failures = entry.scoring().countFailure();
        int allowed = state.routes()
                .find(request.host(), request.routePath())
                .map(Route::maximumAttempts)
                .orElse(1);
        if (failures >= Math.max(1, allowed)) {
            abandon(tick, entry, "scoring request " + request.id() + " failed " + failures + " times");
            return;
        }
        retry(tick, entry, attempt, "the endpoint failed");
    }

    /**
     * Schedules the next attempt of a request after a backoff.
     *
     * @param tick The tick.
     * @param entry The item.
     * @param attempt The attempt that ended.
     * @param reason The reason.
     */
    private static void retry(Tick tick, Outstanding entry, ItemScoring.Attempt attempt, String reason) {
        int misses = entry.scoring().countMiss();
        entry.scoring().waitUntil(tick.now().plus(backoff(misses, tick.random().nextDouble())));
        tick.decide(Decision.of(
                "batch-score",
                entry.item().item().id(),
                "wait",
                "scoring request " + entry.scoring().request().id() + " attempt " + attempt.number() + " at "
                        + attempt.endpoint().name().value() + ": " + reason));
    }

    /**
     * Returns the backoff before the next attempt.
     *
     * @param misses The number of consecutive attempts that ended without a score.
     * @param random A random number from 0 to below 1, which spreads the retries of requests that were refused at the
     *     same time.
     * @return The time.
     */
    private static Duration backoff(int misses, double random) {
        if (misses < 2) {
            return Duration.ZERO;
        }
        Duration doubled = INITIAL_BACKOFF.multipliedBy(1L << Math.min(misses - 2, 4));
        Duration limited = doubled.compareTo(MAXIMUM_BACKOFF) < 0 ? doubled : MAXIMUM_BACKOFF;
        return Duration.ofNanos((long) (limited.toNanos() * (0.5 + random / 2)));
    }

    /**
     * Abandons an item.
     *
     * @param tick The tick.
     * @param entry The item.
     * @param reason The reason.
     */
    private void abandon(Tick tick, Outstanding entry, String reason) {
        state.cancelScoring(tick, entry.job().job().id(), entry.item());
        String item = entry.item().item().id();
        entry.item().finish(BatchResult.abandoned(item));
        tick.decide(Decision.of("batch-item", item, "given up", reason));
    }

    /**
     * An item whose score is outstanding.
     *
     * @param job The job.
     * @param item The item.
     * @param scoring The scoring.
     * @param left The number of items of its group without a result. Items of nearly complete groups are scored first.
     */
    private record Outstanding(RunningJob job, RunningItem item, ItemScoring scoring, int left) {}
}
