package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.route.EngineTerms;
import io.yuccaswitch.core.route.Route;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.stream.Collectors;

/** Derives the steps, and the progress of their items, from the tables of the batch system. */
final class StepReader {

    /** The tables of the batch system. */
    private final BatchState state;

    /**
     * Creates a reader.
     *
     * @param state The tables of the batch system.
     */
    StepReader(BatchState state) {
        this.state = state;
    }

    /**
     * Returns the order of the items of a job.
     *
     * @param job The job.
     * @param route The job's route.
     * @return The order.
     */
    ItemOrder items(RunningJob job, Route route) {
        int tokensPerEvent = terms(route).tokensPerEvent();
        Optional<ResultLog> log = state.logs().find(job.job().id());
        List<ItemOrder.Entry> entries = new ArrayList<>();
        for (BatchItem item : job.job().items()) {
            Optional<RunningItem> running = job.find(item.id());
            ItemOrder.Progress progress = running.map(StepReader::progress)
                    .orElseGet(() ->
                            log.filter(found -> found.isAbandoned(item.id())).isPresent()
                                    ? ItemOrder.Progress.ABANDONED
                                    : ItemOrder.Progress.COMPLETE);
            long remaining = running.map(found -> remainingEvents(job, found, tokensPerEvent))
                    .orElse(0L);
            entries.add(new ItemOrder.Entry(item.id(), item.group(), progress, remaining));
        }
        return new ItemOrder(entries, job.job().wantedGroups());
    }

    /**
     * Returns the step of the items of a job that its trainer waits for.
     *
     * @param job The job.
     * @param route The job's route.
     * @param items The order of its items.
     * @param now The current time.
     * @return The step.
     */
    Step counting(RunningJob job, Route route, ItemOrder items, MonotonicTime now) {
        long need = needMillis(route, items);
        return new Step(
                job.job().model(),
                Step.priorityOf(route.priority()),
                slackMillis(job, route, need, now),
                need,
                job.job().submittedAt(),
                items.counting().size(),
                running(job));
    }

    /**
     * Returns the step of the items of a job that no trainer waits for.
     *
     * @param job The job.
     * @param items The order of its items.
     * @return The step.
     */
    Step spare(RunningJob job, ItemOrder items) {
        return new Step(
                job.job().model(),
                Step.SPARE_PRIORITY,
                Step.NO_DUE_TIME,
                0,
                job.job().submittedAt(),
                items.spare().size(),
                running(job));
    }

    /**
     * Returns the steps of this node that wait for slots, as it reports them to other nodes.
     *
     * @param now The current time.
     * @return The steps.
     */
    List<BatchMessage.Demand> demands(MonotonicTime now) {
        List<BatchMessage.Demand> demands = new ArrayList<>();
        for (RunningJob job : state.running().rows()) {
            Optional<Route> route = state.route(job.job());
            if (route.isPresent() && !job.waiting().isEmpty()) {
                ItemOrder items = items(job, route.get());
                for (Step step : List.of(counting(job, route.get(), items, now), spare(job, items))) {
                    if (step.waiting() > 0) {
                        demands.add(BatchMessage.Demand.of(step));
                    }
                }
            }
        }
        return demands;
    }

    /**
     * Returns the models whose jobs compete with a job.
     *
     * @param job The job.
     * @param route The job's route.
     * @return The models that its pools serve, and its own, which a pool may not list yet.
     */
    Set<String> competingModels(RunningJob job, Route route) {
        Set<String> models = new HashSet<>();
        models.add(job.job().model());
        for (PoolName pool : pools(route)) {
            state.routes().active().map(found -> found.models().get(pool)).ifPresent(models::addAll);
        }
        return models;
    }

    /**
     * Returns the slack of a job.
     *
     * @param job The job.
     * @param route The job's route.
     * @param needMillis The time that its items still need, in milliseconds.
     * @param now The current time.
     * @return The slack in milliseconds.
     */
    private static long slackMillis(RunningJob job, Route route, long needMillis, MonotonicTime now) {
        Optional<Duration> allowed = route.batch().map(Route.BatchTerms::resultDeadline);
        if (allowed.filter(deadline -> deadline.compareTo(Duration.ZERO) > 0).isEmpty()) {
            return Step.NO_DUE_TIME;
        }
        Duration queueTimeout = route.batch().get().queueTimeout();
        MonotonicTime due = job.deadline().plus(allowed.get().minus(queueTimeout));
        return due.since(now).toMillis() - needMillis;
    }

    /**
     * Returns the time that the items of a job still need at the usual rate of engines.
     *
     * @param route The job's route.
     * @param items The order of its items.
     * @return The time in milliseconds, at least 1, or 0 if no engine was measured or the tokens of an event are
     *     unknown.
     */
    private long needMillis(Route route, ItemOrder items) {
        if (terms(route).equals(EngineTerms.UNKNOWN)) {
            return 0;
        }
        OptionalDouble rate = state.rates().medianRate(pools(route));
        return rate.isPresent() && rate.getAsDouble() > 0
                ? Math.max(1, Math.round(items.longestRemaining() / rate.getAsDouble() * 1000))
                : 0;
    }

    /**
     * Returns the terms of a route's engines.
     *
     * @param route The route.
     * @return The terms of its first pool that has any.
     */
    private EngineTerms terms(Route route) {
        return route.pools().stream()
                .filter(share -> share.weight() > 0)
                .flatMap(share -> state.routes().active().map(found -> found.engines(share.pool())).stream())
                .filter(terms -> !terms.equals(EngineTerms.UNKNOWN))
                .findFirst()
                .orElse(EngineTerms.UNKNOWN);
    }

    /**
     * Estimates the number of further events of an item.
     *
     * @param job The job.
     * @param item The item.
     * @param tokensPerEvent The number of tokens that one event contains.
     * @return The number, not negative.
     */
    private long remainingEvents(RunningJob job, RunningItem item, int tokensPerEvent) {
        long made = item.receivedEvents() * tokensPerEvent;
        long expected = item.expectedLength(made, state.lengths().revision(), () -> state.lengths()
                .expected(job.job(), job.lengthHints(), item.item(), made));
        return Math.max(0, (expected - made + tokensPerEvent - 1) / tokensPerEvent);
    }

    /**
     * Returns the pools that serve a route.
     *
     * @param route The route.
     * @return The pools.
     */
    private static Set<PoolName> pools(Route route) {
        return route.pools().stream()
                .filter(share -> share.weight() > 0)
                .map(Route.PoolShare::pool)
                .collect(Collectors.toSet());
    }

    /**
     * Returns the number of items of a job in progress.
     *
     * @param job The job.
     * @return The number.
     */
    private static int running(RunningJob job) {
        return (int)
                job.items().stream().filter(item -> item.endpoint().isPresent()).count();
    }

    /**
     * Returns how far an item has got.
     *
     * @param item The item.
     * @return The progress.
     */
    private static ItemOrder.Progress progress(RunningItem item) {
        if (item.result().isPresent()) {
            return item.result().get().completed() ? ItemOrder.Progress.COMPLETE : ItemOrder.Progress.ABANDONED;
        }
        if (item.endpoint().isPresent()) {
            return ItemOrder.Progress.RUNNING;
        }
        if (item.scoring().isPresent()) {
            return ItemOrder.Progress.COMPLETE;
        }
        return item.text().isEmpty() ? ItemOrder.Progress.WAITING : ItemOrder.Progress.INTERRUPTED;
    }
}
