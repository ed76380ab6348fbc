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
 * Searches what became of requests that this node can't send: first at the nodes that may keep a copy of the outcome,
 * then at the endpoints of pools that settle requests. What is found is told; what is not found stays unknown, because
 * a request that nobody has seen may still be on its way.
 */
final class ResolutionSystem implements DecisionSystem {

    /** The time that nodes and endpoints have for their answers. */
    static final Duration PHASE_TIME = Duration.ofSeconds(1);

    /** The number of nodes that are asked besides the home. */
    private static final int ASKED_PEERS = 3;

    /** The largest number of endpoints that are asked. */
    private static final int ASKED_ENDPOINTS = 64;

    /** The code of a failure whose request surely ran. */
    private static final String RAN_CODE = "ran-answer-lost";

    /** The tables. */
    private final RequestTables tables;

    /** What brings requests to their outcome. */
    private final Conclusions conclusions;

    /**
     * Creates a new system.
     *
     * @param tables The tables.
     * @param conclusions What brings requests to their outcome.
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
                peerAnswered(tick, event.sender().name(), answer);
            }
        }
        for (RequestEvent.Settled event : tick.events(RequestEvent.Settled.class)) {
            endpointAnswered(tick, event);
        }
        for (Resolution resolution : tables.resolutions.rows()) {
            if (tick.now().since(resolution.phaseSince()).compareTo(PHASE_TIME) >= 0) {
                nextPhase(tick, resolution);
            }
        }
    }

    /**
     * Searches the outcome of a request that must not be sent.
     *
     * @param tick The tick.
     * @param row The request's row.
     * @param fallback The outcome if nobody knows more.
     */
    void resolve(Tick tick, RequestRow row, Outcome fallback) {
        tables.requests.put(row.id(), row.withStage(RequestStage.RESOLVING, tick.now()));
        Request request = row.request();
        start(tick, row.id(), request.caller(), Optional.of(request.pool()), fallback, false);
    }

    /**
     * Asks the endpoint that a request was sent to what became of it, if it settles requests, and concludes otherwise.
     *
     * @param tick The tick.
     * @param row The request's row.
     * @param endpoint The endpoint.
     * @param fallback The outcome if the endpoint does not know.
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
     * Answers a caller that asks what became of a request.
     *
     * @param tick The tick.
     * @param event The event.
     */
    private void lookup(Tick tick, RequestEvent.LookupArrived event) {
        Optional<KeptAnswer> kept = tables.kept.find(event.id());
        if (kept.isPresent() && !kept.get().caller().equals(event.caller())) {
            tick.emit(new RequestEffect.LookedUp(event.id(), unknown("not-seen", "No such request is known.")));
            return;
        }
        if (kept.isPresent() && kept.get().outcome().kind() == RecordedOutcome.Kind.ANSWERED) {
            tick.emit(
                    new RequestEffect.LookedUp(event.id(), kept.get().outcome().outcome()));
            return;
        }
        Optional<RequestRow> row = tables.requests.find(event.id());
        if (row.isPresent() && row.get().request().caller().equals(event.caller())) {
            tick.emit(new RequestEffect.LookedUp(event.id(), unknown("in-progress", "The request is in progress.")));
            return;
        }
        Outcome fallback = kept.map(answer -> answer.outcome().outcome())
                .orElseGet(() -> unknown("not-seen", "No node or endpoint that was asked has seen the request."));
        start(tick, event.id(), event.caller(), Optional.empty(), fallback, true);
    }

    /**
     * Answers another node that asks for a request.
     *
     * @param tick The tick.
     * @param peer The node.
     * @param lookup The question.
     */
    private void answer(Tick tick, NodeName peer, RequestMessage.Lookup lookup) {
        Optional<RecordedOutcome> outcome = tables.kept
                .find(lookup.id())
                .filter(kept -> kept.caller().equals(lookup.caller()))
                .map(KeptAnswer::outcome);
        boolean inProgress = tables.requests
                .find(lookup.id())
                .map(row -> row.stage() == RequestStage.SENT || row.stage() == RequestStage.QUEUED)
                .orElse(false);
        tick.emit(new PeerEffect.Send(peer, new RequestMessage.LookupAnswer(lookup.id(), outcome, inProgress)));
    }

    /**
     * Begins a search, or joins one that runs.
     *
     * @param tick The tick.
     * @param id The identifier of the request.
     * @param caller The caller that asks.
     * @param pool The pool of the request, or empty if it is not known.
     * @param fallback The outcome if nobody knows more.
     * @param lookup Whether a look-up waits for the outcome.
     */
    private void start(
            Tick tick, RequestId id, CallerName caller, Optional<PoolName> pool, Outcome fallback, boolean lookup) {
        Optional<Resolution> running = tables.resolutions.find(id);
        if (running.isPresent()) {
            tables.resolutions.put(id, lookup ? running.get().withLookup() : running.get());
            return;
        }
        Set<NodeName> peers = peersToAsk(id);
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
     * Picks the nodes that may know of a request: its home, and those that rank highest for keeping a copy.
     *
     * @param id The identifier of the request.
     * @return The nodes, without this one.
     */
    private Set<NodeName> peersToAsk(RequestId id) {
        NodeName self = tables.self().name();
        Set<NodeName> peers = new LinkedHashSet<>();
        Optional<Member> home = id.home().map(NodeIdentity::name).flatMap(tables.membership::find);
        home.ifPresent(member -> peers.add(member.identity().name()));
        List<Member> ranked = RendezvousRanking.rank(id.value(), tables.membership.working());
        ranked.stream()
                .limit(ASKED_PEERS)
                .map(member -> member.identity().name())
                .forEach(peers::add);
        ranked.stream()
                .filter(member -> home.isEmpty()
                        || !member.availabilityZone().equals(home.get().availabilityZone()))
                .limit(ASKED_PEERS)
                .map(member -> member.identity().name())
                .forEach(peers::add);
        peers.remove(self);
        return peers;
    }

    /**
     * Takes in what another node knows.
     *
     * @param tick The tick.
     * @param peer The node.
     * @param answer What the node knows.
     */
    private void peerAnswered(Tick tick, NodeName peer, RequestMessage.LookupAnswer answer) {
        Optional<Resolution> found = tables.resolutions.find(answer.id());
        if (found.isEmpty() || !found.get().peers().contains(peer)) {
            return;
        }
        Optional<RecordedOutcome> whole =
                answer.outcome().filter(outcome -> outcome.kind() == RecordedOutcome.Kind.ANSWERED);
        if (whole.isPresent()) {
            finish(tick, found.get(), whole.get().outcome());
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
     * Goes on from the nodes to the endpoints, or gives up.
     *
     * @param tick The tick.
     * @param resolution The search.
     */
    private void nextPhase(Tick tick, Resolution resolution) {
        if (resolution.askingEndpoints()) {
            finish(tick, resolution, resolution.fallback());
            return;
        }
        Set<EndpointName> asked = new HashSet<>();
        tables.configuration.ifPresent(configuration -> ask(tick, resolution, configuration, asked));
        Resolution changed = resolution.askingEndpoints(asked, tick.now());
        tables.resolutions.put(resolution.id(), changed);
        if (asked.isEmpty()) {
            finish(tick, changed, changed.fallback());
        }
    }

    /**
     * Asks the endpoints of the pools that settle requests.
     *
     * @param tick The tick.
     * @param resolution The search.
     * @param configuration The configuration in force.
     * @param asked The endpoints that are asked, to add to.
     */
    private static void ask(
            Tick tick, Resolution resolution, FleetConfiguration configuration, Set<EndpointName> asked) {
        for (Map.Entry<PoolName, PoolSettings> pool : configuration.pools().entrySet()) {
            boolean concerned = resolution.pool().map(pool.getKey()::equals).orElse(true);
            if (!concerned || !pool.getValue().settlesRequests()) {
                continue;
            }
            for (Map.Entry<String, EndpointSettings> endpoint :
                    pool.getValue().endpoints().entrySet()) {
                EndpointName name = new EndpointName(pool.getKey(), endpoint.getKey());
                if (asked.size() < ASKED_ENDPOINTS && asked.add(name)) {
                    tick.emit(new RequestEffect.Settle(
                            resolution.id(), name, endpoint.getValue().address()));
                }
            }
        }
    }

    /**
     * Takes in what an endpoint says.
     *
     * @param tick The tick.
     * @param event The event.
     */
    private void endpointAnswered(Tick tick, RequestEvent.Settled event) {
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
                    new Outcome.FailedAfterSend(RAN_CODE, "The endpoint ran the request, its answer is lost."));
            return;
        }
        Resolution changed = found.get().withoutEndpoint(event.endpoint());
        tables.resolutions.put(event.id(), changed);
        if (changed.endpoints().isEmpty()) {
            finish(tick, changed, changed.fallback());
        }
    }

    /**
     * Ends a search.
     *
     * @param tick The tick.
     * @param resolution The search.
     * @param outcome What was found, or the fallback.
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
     * Describes a request of which nothing is known.
     *
     * @param code The code of the reason.
     * @param message The explanation for the caller.
     * @return The outcome.
     */
    private static Outcome unknown(String code, String message) {
        return new Outcome.Unknown(code, message);
    }
}
