package io.yuccaswitch.core.request;

import io.yuccaswitch.core.configuration.EndpointSettings;
import io.yuccaswitch.core.configuration.FleetConfiguration;
import io.yuccaswitch.core.configuration.PoolSettings;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.CallerName;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.RendezvousRanking;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.peer.PeerEvent;
import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Searches for the outcomes of requests that this node can't send: first at the nodes that may keep a copy of the
 * outcome, then at the endpoints of pools that settle requests. An outcome that is found is reported; otherwise it
 * remains unknown, because a request that no node or endpoint has seen may still be in transit.
 */
final class ResolutionSystem implements DecisionSystem {

    /** The timeout for the answers of nodes, and again for those of endpoints. */
    static final Duration PHASE_TIMEOUT = Duration.ofSeconds(1);

    /** The maximum number of nodes to query from each ranking, in addition to the home. */
    private static final int MAXIMUM_PEERS_PER_RANKING = 3;

    /** The maximum number of endpoints to query. */
    private static final int MAXIMUM_QUERIED_ENDPOINTS = 64;

    /** The code of a failure whose request is known to have run. */
    private static final String RAN_ANSWER_LOST_CODE = "ran-answer-lost";

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
    ResolutionSystem(RequestTables tables, Conclusions conclusions) {
        this.tables = tables;
        this.conclusions = conclusions;
    }

    /** {@inheritDoc} */
    @Override
    public void run(Tick tick) {
        for (RequestEvent.LookupArrived event : tick.events(RequestEvent.LookupArrived.class)) {
            lookup(tick, event);
        }
        for (PeerEvent.Received event : tick.events(PeerEvent.Received.class)) {
            if (event.message() instanceof RequestMessage.Lookup lookup) {
                answer(tick, event.sender().name(), lookup);
            } else if (event.message() instanceof RequestMessage.LookupAnswer answer) {
                handlePeerAnswer(tick, event.sender().name(), answer);
            }
        }
        for (RequestEvent.Settled event : tick.events(RequestEvent.Settled.class)) {
            handleEndpointAnswer(tick, event);
        }
        for (Resolution resolution : tables.resolutions.rows()) {
            if (tick.now().since(resolution.phaseSince()).compareTo(PHASE_TIMEOUT) >= 0) {
                nextPhase(tick, resolution);
            }
        }
    }

    /**
     * Searches for the outcome of a request that must not be sent.
     *
     * @param tick The tick.
     * @param row The request's row.
     * @param fallback The outcome if none is found.
     */
    void resolve(Tick tick, RequestRow row, Outcome fallback) {
        tables.requests.put(row.id(), row.withStage(RequestStage.RESOLVING, tick.now()));
        Request request = row.request();
        start(tick, row.id(), request.caller(), Optional.of(request.pool()), fallback, false);
    }

    /**
     * Queries the endpoint that a request was sent to for its outcome. If the pool does not settle requests, concludes
     * the request with the fallback.
     *
     * @param tick The tick.
     * @param row The request's row.
     * @param endpoint The endpoint.
     * @param fallback The outcome if the endpoint does not report one.
     */
    void settle(Tick tick, RequestRow row, EndpointName endpoint, Outcome fallback) {
        Request request = row.request();
        Optional<EndpointSettings> settings = tables.pool(request.pool())
                .filter(pool -> pool.settings.settlesRequests())
                .map(pool -> pool.settings.endpoints().get(endpoint.value()));
        if (settings.isEmpty()) {
            conclusions.conclude(tick, row, fallback);
            return;
        }
        tables.requests.put(row.id(), row.withStage(RequestStage.RESOLVING, tick.now()));
        tables.resolutions.put(
                row.id(),
                new Resolution(
                        row.id(),
                        request.caller(),
                        Optional.of(request.pool()),
                        fallback,
                        false,
                        tick.now(),
                        Set.of(),
                        Set.of(endpoint),
                        true));
        tick.emit(new RequestEffect.Settle(row.id(), endpoint, settings.get().address()));
    }

    /**
     * Handles the look-up of a caller.
     *
     * @param tick The tick.
     * @param event The event.
     */
    private void lookup(Tick tick, RequestEvent.LookupArrived event) {
        Optional<RetainedOutcome> retained = tables.retained.find(event.id());
        if (retained.isPresent() && !retained.get().caller().equals(event.caller())) {
            tick.emit(new RequestEffect.LookedUp(event.id(), unknown("not-seen", "No such request was found.")));
            return;
        }
        if (retained.isPresent() && retained.get().outcome().kind() == RecordedOutcome.Kind.ANSWERED) {
            tick.emit(new RequestEffect.LookedUp(
                    event.id(), retained.get().outcome().outcome()));
            return;
        }
        Optional<RequestRow> row = tables.requests.find(event.id());
        if (row.isPresent() && row.get().request().caller().equals(event.caller())) {
            tick.emit(new RequestEffect.LookedUp(event.id(), unknown("in-progress", "The request is in progress.")));
            return;
        }
        Outcome fallback = retained.map(answer -> answer.outcome().outcome())
                .orElseGet(() -> unknown("not-seen", "No queried node or endpoint has seen the request."));
        start(tick, event.id(), event.caller(), Optional.empty(), fallback, true);
    }

    /**
     * Answers the look-up of another node.
     *
     * @param tick The tick.
     * @param peer The node.
     * @param lookup The look-up.
     */
    private void answer(Tick tick, NodeName peer, RequestMessage.Lookup lookup) {
        Optional<RecordedOutcome> outcome = tables.retained
                .find(lookup.id())
                .filter(retained -> retained.caller().equals(lookup.caller()))
                .map(RetainedOutcome::outcome);
        boolean inProgress = tables.requests
                .find(lookup.id())
                .map(row -> row.stage() == RequestStage.SENT || row.stage() == RequestStage.QUEUED)
                .orElse(false);
        tick.emit(new PeerEffect.Send(peer, new RequestMessage.LookupAnswer(lookup.id(), outcome, inProgress)));
    }

    /**
     * Starts a search, or joins the one in progress.
     *
     * @param tick The tick.
     * @param id The identifier of the request.
     * @param caller The caller that queries the outcome.
     * @param pool The pool of the request, or empty if it is unknown.
     * @param fallback The outcome if none is found.
     * @param lookup Whether a look-up waits for the outcome.
     */
    private void start(
            Tick tick, RequestId id, CallerName caller, Optional<PoolName> pool, Outcome fallback, boolean lookup) {
        Optional<Resolution> running = tables.resolutions.find(id);
        if (running.isPresent()) {
            tables.resolutions.put(id, lookup ? running.get().withLookup() : running.get());
            return;
        }
        Set<NodeName> peers = peersToQuery(id);
        for (NodeName peer : peers) {
            tick.emit(new PeerEffect.Send(peer, new RequestMessage.Lookup(id, caller)));
        }
        Resolution resolution = new Resolution(id, caller, pool, fallback, lookup, tick.now(), peers, Set.of(), false);
        tables.resolutions.put(id, resolution);
        if (peers.isEmpty()) {
            nextPhase(tick, resolution);
        }
    }

    /**
     * Selects the nodes that may have the outcome of a request: its home, and those that rank highest for keeping a
     * copy.
     *
     * @param id The identifier of the request.
     * @return The nodes, without this one.
     */
    private Set<NodeName> peersToQuery(RequestId id) {
        NodeName self = tables.self().name();
        Set<NodeName> peers = new LinkedHashSet<>();
        Optional<Member> home = id.home().map(NodeIdentity::name).flatMap(tables.membership::find);
        home.ifPresent(member -> peers.add(member.identity().name()));
        List<Member> ranked = RendezvousRanking.rank(id.value(), tables.membership.working());
        ranked.stream()
                .limit(MAXIMUM_PEERS_PER_RANKING)
                .map(member -> member.identity().name())
                .forEach(peers::add);
        ranked.stream()
                .filter(member -> home.isEmpty()
                        || !member.availabilityZone().equals(home.get().availabilityZone()))
                .limit(MAXIMUM_PEERS_PER_RANKING)
                .map(member -> member.identity().name())
                .forEach(peers::add);
        peers.remove(self);
        return peers;
    }

    /**
     * Handles the answer of another node.
     *
     * @param tick The tick.
     * @param peer The node.
     * @param answer The answer.
     */
    private void handlePeerAnswer(Tick tick, NodeName peer, RequestMessage.LookupAnswer answer) {
        Optional<Resolution> found = tables.resolutions.find(answer.id());
        if (found.isEmpty() || !found.get().peers().contains(peer)) {
            return;
        }
        Optional<RecordedOutcome> answered =
                answer.outcome().filter(outcome -> outcome.kind() == RecordedOutcome.Kind.ANSWERED);
        if (answered.isPresent()) {
            finish(tick, found.get(), answered.get().outcome());
            return;
        }
        if (answer.inProgress() && found.get().lookup()) {
            finish(tick, found.get(), unknown("in-progress", "The request is in progress."));
            return;
        }
        Resolution changed = found.get().withoutPeer(peer);
        tables.resolutions.put(answer.id(), changed);
        if (changed.peers().isEmpty()) {
            nextPhase(tick, changed);
        }
    }

    /**
     * Continues with the endpoints after the nodes, or finishes with the fallback after the endpoints.
     *
     * @param tick The tick.
     * @param resolution The search.
     */
    private void nextPhase(Tick tick, Resolution resolution) {
        if (resolution.queryingEndpoints()) {
            finish(tick, resolution, resolution.fallback());
            return;
        }
        Set<EndpointName> queried = new HashSet<>();
        tables.configuration.ifPresent(configuration -> queryEndpoints(tick, resolution, configuration, queried));
        Resolution changed = resolution.queryingEndpoints(queried, tick.now());
        tables.resolutions.put(resolution.id(), changed);
        if (queried.isEmpty()) {
            finish(tick, changed, changed.fallback());
        }
    }

    /**
     * Queries the endpoints of the pools that settle requests.
     *
     * @param tick The tick.
     * @param resolution The search.
     * @param configuration The active configuration.
     * @param queried The set to which the queried endpoints are added.
     */
    private static void queryEndpoints(
            Tick tick, Resolution resolution, FleetConfiguration configuration, Set<EndpointName> queried) {
        for (Map.Entry<PoolName, PoolSettings> pool : configuration.pools().entrySet()) {
            boolean concerned = resolution.pool().map(pool.getKey()::equals).orElse(true);
            if (!concerned || !pool.getValue().settlesRequests()) {
                continue;
            }
            for (Map.Entry<String, EndpointSettings> endpoint :
                    pool.getValue().endpoints().entrySet()) {
                EndpointName name = new EndpointName(pool.getKey(), endpoint.getKey());
                if (queried.size() < MAXIMUM_QUERIED_ENDPOINTS && queried.add(name)) {
                    tick.emit(new RequestEffect.Settle(
                            resolution.id(), name, endpoint.getValue().address()));
                }
            }
        }
    }

    /**
     * Handles the answer of an endpoint.
     *
     * @param tick The tick.
     * @param event The event.
     */
    private void handleEndpointAnswer(Tick tick, RequestEvent.Settled event) {
        Optional<Resolution> found = tables.resolutions.find(event.id());
        if (found.isEmpty() || !found.get().endpoints().contains(event.endpoint())) {
            return;
        }
        if (event.result() instanceof SettlementResult.Answered answered) {
            Outcome outcome = new Outcome.Answered(
                    event.endpoint(), answered.status(), answered.contentType(), answered.body(), Optional.empty());
            finish(tick, found.get(), outcome);
            return;
        }
        if (event.result() instanceof SettlementResult.Ran) {
            finish(
                    tick,
                    found.get(),
                    new Outcome.FailedAfterSend(
                            RAN_ANSWER_LOST_CODE, "The endpoint ran the request, but its answer is lost."));
            return;
        }
        Resolution changed = found.get().withoutEndpoint(event.endpoint());
        tables.resolutions.put(event.id(), changed);
        if (changed.endpoints().isEmpty()) {
            finish(tick, changed, changed.fallback());
        }
    }

    /**
     * Finishes a search.
     *
     * @param tick The tick.
     * @param resolution The search.
     * @param outcome The outcome that was found, or the fallback.
     */
    private void finish(Tick tick, Resolution resolution, Outcome outcome) {
        tables.resolutions.remove(resolution.id());
        if (resolution.lookup()) {
            tick.emit(new RequestEffect.LookedUp(resolution.id(), outcome));
        }
        tables.requests
                .find(resolution.id())
                .filter(row -> row.stage() == RequestStage.RESOLVING)
                .ifPresent(row -> conclusions.conclude(tick, row, outcome));
    }

    /**
     * Creates an unknown outcome.
     *
     * @param code The code of the reason.
     * @param message The explanation for the caller.
     * @return The outcome.
     */
    private static Outcome unknown(String code, String message) {
        return new Outcome.Unknown(code, message);
    }
}
