package io.yuccaswitch.core.request;

import io.yuccaswitch.core.configuration.ConfigurationEvent;
import io.yuccaswitch.core.configuration.LimitSettings;
import io.yuccaswitch.core.configuration.PoolKind;
import io.yuccaswitch.core.configuration.PoolSettings;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.endpoint.EndpointView;
import io.yuccaswitch.core.limit.ConcurrencyLimit;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.platform.PlatformTokens;
import io.yuccaswitch.core.quarantine.Quarantine;
import java.util.List;
import java.util.function.Function;

/**
 * The request path: accepts requests, concludes each with one outcome, and sends non-idempotent ones at most once.
 *
 * <p>Create one instance and run it after the systems of configuration, membership and endpoints, after any system that
 * raises {@link RequestEvent.Arrived}, and before any that handles {@link RequestEvent.Concluded}. It consumes
 * {@link RequestEvent}, {@code PeerEvent.Received} with a {@link RequestMessage}, {@code PlatformEvent} for its own
 * tokens and {@code ConfigurationEvent.Activated}; it emits {@link RequestEffect}, {@code PeerEffect.Send} and
 * {@code PlatformEffect}.
 */
public final class RequestSystem implements DecisionSystem {

    /** The multiple of its best latency above which an engine is treated as overloaded. */
    private static final double ENGINE_LATENCY_TOLERANCE = 4;

    /** The multiple of its best latency above which a plain service is treated as overloaded. */
    private static final double SERVICE_LATENCY_TOLERANCE = 2;

    /** The tables. */
    private final RequestTables tables;

    /** The systems that make up the request path, in the order in which they run. */
    private final List<DecisionSystem> systems;

    /**
     * Creates a new system.
     *
     * @param membership The members, including this node, whose identity is the home of the requests that it issues ids
     *     for.
     * @param endpoints The endpoints.
     * @param clock The clock that counts the windows of request ids.
     * @param tokens The generator of tokens for platform calls, which all systems of the core share.
     * @param quarantine The quarantine of requests that made endpoints terminate.
     */
    public RequestSystem(
            MembershipView membership,
            EndpointView endpoints,
            RequestClock clock,
            PlatformTokens tokens,
            Quarantine quarantine) {
        this(membership, endpoints, clock, tokens, quarantine, RequestSystem::additiveIncrease);
    }

    /**
     * Creates a new system with a custom concurrency limit.
     *
     * @param membership The members.
     * @param endpoints The endpoints.
     * @param clock The clock that counts the windows of request ids.
     * @param tokens The generator of tokens for platform calls.
     * @param quarantine The quarantine of requests that made endpoints terminate.
     * @param limits The factory for the limit of an endpoint that was not used yet.
     */
    RequestSystem(
            MembershipView membership,
            EndpointView endpoints,
            RequestClock clock,
            PlatformTokens tokens,
            Quarantine quarantine,
            Function<PoolSettings, ConcurrencyLimit> limits) {
        tables = new RequestTables(membership, endpoints, clock, quarantine, limits);
        Conclusions conclusions = new Conclusions(tables);
        DispatchSystem dispatch = new DispatchSystem(tables, conclusions);
        Admission admission = new Admission(tables, conclusions, dispatch);
        ResolutionSystem resolution = new ResolutionSystem(tables, conclusions);
        ForwardingSystem forwarding = new ForwardingSystem(tables, conclusions, resolution);
        HomeAdmission homeAdmission = new HomeAdmission(tables, admission, resolution);
        ClaimSystem claims = new ClaimSystem(tables, conclusions, homeAdmission, forwarding, tokens);
        ArrivalSystem arrivals =
                new ArrivalSystem(tables, conclusions, admission, homeAdmission, claims, forwarding, resolution);
        AttemptSystem attempts = new AttemptSystem(tables, conclusions, admission, resolution);
        DeadlineSystem deadlines = new DeadlineSystem(tables, conclusions, dispatch, forwarding);
        systems = List.of(arrivals, claims, attempts, forwarding, resolution, deadlines, dispatch);
    }

    /**
     * Creates the limit of an endpoint that was not used yet. Engines get a higher tolerance, because their latency
     * grows with the size of the batch.
     *
     * @param settings The settings of the pool.
     * @return The limit.
     */
    static ConcurrencyLimit additiveIncrease(PoolSettings settings) {
        LimitSettings limits = settings.limits();
        double tolerance = settings.kind() == PoolKind.ENGINE ? ENGINE_LATENCY_TOLERANCE : SERVICE_LATENCY_TOLERANCE;
        return new ConcurrencyLimit.AdditiveIncrease(
                limits.initialConcurrency(), limits.maximumConcurrency(), tolerance);
    }

    /** {@inheritDoc} */
    @Override
    public void run(Tick tick) {
        for (ConfigurationEvent.Activated event : tick.events(ConfigurationEvent.Activated.class)) {
            tables.configure(event.configuration());
        }
        for (DecisionSystem system : systems) {
            system.run(tick);
        }
    }

    /**
     * Returns the number of requests in progress on this node. A leaving node waits until it is zero.
     *
     * @return The number of requests in progress.
     */
    public int requestsInProgress() {
        return tables.requests.size();
    }

    /**
     * Returns the clock that counts the windows of request ids.
     *
     * @return The clock.
     */
    public RequestClock clock() {
        return tables.clock;
    }
}
