package io.yuccaswitch.core.request;

import io.yuccaswitch.core.configuration.PriorityClass;
import io.yuccaswitch.core.configuration.RoutingSettings;
import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.endpoint.Endpoint;
import io.yuccaswitch.core.endpoint.LoadReport;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.limit.FairQueue;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.retry.EjectionPolicy;
import io.yuccaswitch.core.routing.EndpointLoad;
import io.yuccaswitch.core.routing.EndpointSubset;
import io.yuccaswitch.core.routing.RoutingCandidate;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Sends queued requests to endpoints that have capacity for them. */
final class DispatchSystem implements DecisionSystem {

    /**
     * The time for which an attempt of a non-idempotent request continues past its deadline, so that its answer can be
     * retained in case the request is repeated.
     */
    static final Duration LATE_ANSWER_GRACE_PERIOD = Duration.ofSeconds(30);

    /** The delay after which a caller may retry when its request was queued too long. */
    private static final Duration LATE_RETRY_AFTER = Duration.ofMillis(500);

    /** The tables. */
    private final RequestTables tables;

    /** Concludes requests and notifies their waiters. */
    private final Conclusions conclusions;

    /**
     * Creates a new system.
     *
     * @param tables The tables.
     * @param conclusions Concludes requests and notifies their waiters.
     */
    DispatchSystem(RequestTables tables, Conclusions conclusions) {
        this.tables = tables;
        this.conclusions = conclusions;
    }

    /** {@inheritDoc} */
    @Override
    public void run(Tick tick) {
        for (Map.Entry<PoolName, PoolState> entry : tables.pools.entrySet()) {
            tables.pool(entry.getKey()).ifPresent(pool -> drain(tick, pool));
        }
    }

    /**
     * Sends as many queued requests of a pool as its endpoints have capacity for.
     *
     * @param tick The tick.
     * @param pool The pool.
     */
    void drain(Tick tick, PoolState pool) {
        if (pool.queue.size() == 0) {
            return;
        }
        List<Endpoint> inUse = inUse(tick, pool);
        while (pool.queue.size() > 0 && inUse.stream().anyMatch(endpoint -> hasRoom(endpoint, pool))) {
            Optional<FairQueue.Entry<RequestId>> next =
                    pool.queue.poll(entry -> isServable(tick, pool, entry.key(), inUse));
            if (next.isEmpty()) {
                return;
            }
            tables.requests.find(next.get().key()).ifPresent(row -> sendOrRefuse(tick, pool, row, inUse));
        }
    }

    /**
     * Sends the next queued request. While others wait, a request that is not expected to meet its deadline is refused
     * instead, so that endpoints do not waste work on it; if no others wait, it is sent, so that the estimate is
     * updated.
     *
     * @param tick The tick.
     * @param pool The pool.
     * @param row The request's row.
     * @param inUse The endpoints in use.
     */
    private void sendOrRefuse(Tick tick, PoolState pool, RequestRow row, List<Endpoint> inUse) {
        MonotonicTime expected = tick.now().plus(pool.times.estimateServiceTime(row.request()));
        boolean late = row.request().deadline().isBefore(expected);
        boolean sheddable = row.request().priority() != PriorityClass.URGENT
                && row.history().attempts() == 0;
        if (late && sheddable && pool.queue.size() > 0) {
            Outcome refusal = new Outcome.NotRun(
                    "deadline-unreachable",
                    "The request was queued too long to meet its deadline.",
                    Optional.of(LATE_RETRY_AFTER));
            conclusions.conclude(tick, row, refusal);
            return;
        }
        send(tick, pool, row, inUse);
    }

    /**
     * Sends a second attempt of a request in progress, if an endpoint that was not tried yet has capacity.
     *
     * @param tick The tick.
     * @param pool The pool.
     * @param row The request's row.
     * @return {@code true} if a second attempt was sent.
     */
    boolean hedge(Tick tick, PoolState pool, RequestRow row) {
        List<Endpoint> untried = inUse(tick, pool).stream()
                .filter(endpoint -> !row.history().tried().contains(endpoint.name()))
                .toList();
        if (untried.stream().noneMatch(endpoint -> canServe(endpoint, pool, row.request()))) {
            return false;
        }
        send(tick, pool, row, untried);
        return true;
    }

    /**
     * Sums the limits of the endpoints in use.
     *
     * @param tick The tick.
     * @param pool The pool.
     * @return The maximum number of concurrent requests.
     */
    int concurrency(Tick tick, PoolState pool) {
        return inUse(tick, pool).stream()
                .mapToInt(endpoint -> tables.load(endpoint.name(), pool).limit().limit())
                .sum();
    }

    /**
     * Returns whether a pool has an endpoint that could serve a request, regardless of its load.
     *
     * @param tick The tick.
     * @param pool The pool.
     * @param request The request.
     * @return {@code true} if an endpoint has loaded the model and version that the request needs.
     */
    boolean hasEndpoint(Tick tick, PoolState pool, Request request) {
        return inUse(tick, pool).stream().anyMatch(endpoint -> holds(endpoint, request));
    }

    /**
     * Returns the endpoints to which this node routes requests.
     *
     * @param tick The tick.
     * @param pool The pool.
     * @return The node's subset of the endpoints that accept new requests, without ejected ones.
     */
    private List<Endpoint> inUse(Tick tick, PoolState pool) {
        Member self = tables.membership.self();
        List<Endpoint> live = tables.endpoints.candidates(pool.name);
        List<Endpoint> subset = EndpointSubset.pick(
                self.identity().name(),
                self.availabilityZone(),
                live,
                pool.settings.routing().subsetSize());
        return EjectionPolicy.inUse(
                subset,
                endpoint -> tables.load(endpoint.name(), pool).health(),
                pool.settings.retry().ejectionFloor(),
                tick.now());
    }

    /**
     * Returns whether a queued request can be sent now.
     *
     * @param tick The tick.
     * @param pool The pool.
     * @param id The identifier of the request.
     * @param inUse The endpoints in use.
     * @return {@code true} if the request can be sent now.
     */
    private boolean isServable(Tick tick, PoolState pool, RequestId id, List<Endpoint> inUse) {
        Optional<RequestRow> row = tables.requests.find(id);
        return row.isPresent()
                && !tick.now().isBefore(row.get().notBefore())
                && inUse.stream()
                        .anyMatch(endpoint -> canServe(endpoint, pool, row.get().request()));
    }

    /**
     * Returns whether an endpoint has capacity and has loaded the model and version that a request needs.
     *
     * @param endpoint The endpoint.
     * @param pool The pool.
     * @param request The request.
     * @return {@code true} if the endpoint can serve the request now.
     */
    private boolean canServe(Endpoint endpoint, PoolState pool, Request request) {
        return hasRoom(endpoint, pool) && holds(endpoint, request);
    }

    /**
     * Returns whether an endpoint has capacity for another request.
     *
     * @param endpoint The endpoint.
     * @param pool The pool.
     * @return {@code true} if the endpoint has capacity.
     */
    private boolean hasRoom(Endpoint endpoint, PoolState pool) {
        return tables.load(endpoint.name(), pool).hasRoom();
    }

    /**
     * Returns whether an endpoint has loaded the model and version that a request needs.
     *
     * @param endpoint The endpoint.
     * @param request The request.
     * @return {@code true} if the endpoint has loaded them.
     */
    private static boolean holds(Endpoint endpoint, Request request) {
        if (request.model().isEmpty()) {
            return true;
        }
        Long version = endpoint.loadedVersions().get(request.model().get());
        return version != null && version >= request.minimumVersion();
    }

    /**
     * Sends an attempt of a request.
     *
     * @param tick The tick.
     * @param pool The pool.
     * @param row The request's row.
     * @param inUse The endpoints in use, at least one of which can serve the request.
     */
    private void send(Tick tick, PoolState pool, RequestRow row, List<Endpoint> inUse) {
        List<Endpoint> capable = inUse.stream()
                .filter(endpoint -> canServe(endpoint, pool, row.request()))
                .toList();
        List<Endpoint> untried = capable.stream()
                .filter(endpoint -> !row.history().tried().contains(endpoint.name()))
                .toList();
        List<RoutingCandidate> candidates = (untried.isEmpty() ? capable : untried)
                .stream()
                        .map(endpoint -> candidate(tick, pool, row.request(), endpoint))
                        .toList();
        RoutingCandidate chosen = pool.routing.choose(candidates, tick.random());
        int number = tables.nextAttempt();
        Endpoint endpoint = chosen.endpoint();
        EndpointLoad load = observed(pool, endpoint).afterSend();
        tables.loads.put(endpoint.name(), load);
        tables.attempts.put(
                number,
                new Attempt(
                        number,
                        row.id(),
                        endpoint.name(),
                        tick.now(),
                        load.inFlight(),
                        chosen.load() + 1,
                        row.history().partialTokens(),
                        row.request().deadline(),
                        false));
        RequestRow sent = row.withHistory(row.history().afterSend(number, endpoint.name()))
                .withStage(RequestStage.SENT, tick.now());
        tables.requests.put(row.id(), sent);
        tick.emit(new RequestEffect.Send(
                row.request(),
                number,
                endpoint.name(),
                endpoint.address(),
                attemptDeadline(row.request()),
                row.history().partial(),
                tables.quarantine.isSuspect(row.request()::content)));
        explain(tick, pool, row, number, chosen, candidates);
    }

    /**
     * Creates the routing candidate of an endpoint.
     *
     * @param tick The tick.
     * @param pool The pool.
     * @param request The request.
     * @param endpoint The endpoint.
     * @return The candidate.
     */
    private RoutingCandidate candidate(Tick tick, PoolState pool, Request request, Endpoint endpoint) {
        EndpointLoad load = observed(pool, endpoint);
        RoutingSettings routing = pool.settings.routing();
        int prefixes = request.prefixHashes().size();
        double cached = prefixes == 0
                ? 0
                : (double) tables.endpoints.cachedPrefixes(endpoint.name(), request.prefixHashes()) / prefixes;
        return new RoutingCandidate(
                endpoint,
                load.inFlight(),
                load.estimate(endpoint.load(), tick.now(), routing.loadReportMaximumAge()),
                endpoint.load().map(LoadReport::capacity).orElse(0),
                cached,
                load.model());
    }

    /**
     * Updates the load state of an endpoint with its latest report.
     *
     * @param pool The pool.
     * @param endpoint The endpoint.
     * @return The load state, which is stored in the table.
     */
    private EndpointLoad observed(PoolState pool, Endpoint endpoint) {
        EndpointName name = endpoint.name();
        EndpointLoad load = tables.load(name, pool).withReport(endpoint.load());
        tables.loads.put(name, load);
        return load;
    }

    /**
     * Returns the deadline of an attempt.
     *
     * @param request The request.
     * @return The deadline of its attempts.
     */
    static MonotonicTime attemptDeadline(Request request) {
        return request.idempotent() ? request.deadline() : request.deadline().plus(LATE_ANSWER_GRACE_PERIOD);
    }

    /**
     * Records the decision that explains the choice of an endpoint.
     *
     * @param tick The tick.
     * @param pool The pool.
     * @param row The request's row before the attempt.
     * @param number The number of the attempt.
     * @param chosen The chosen candidate.
     * @param candidates The candidates.
     */
    private static void explain(
            Tick tick,
            PoolState pool,
            RequestRow row,
            int number,
            RoutingCandidate chosen,
            List<RoutingCandidate> candidates) {
        List<Decision.Candidate> scored = candidates.stream()
                .map(candidate ->
                        new Decision.Candidate(candidate.endpoint().name().value(), pool.routing.score(candidate)))
                .toList();
        String reason = "attempt " + number + ", " + row.history().attempts() + " before, policy "
                + pool.settings.routing().policy();
        tick.decide(
                new Decision("route", row.id().value(), chosen.endpoint().name().toString(), reason, scored));
    }
}
