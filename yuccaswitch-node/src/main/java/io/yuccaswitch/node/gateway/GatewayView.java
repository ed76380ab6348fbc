package io.yuccaswitch.node.gateway;

import io.yuccaswitch.core.configuration.ConfigurationView;
import io.yuccaswitch.core.configuration.FleetConfiguration;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.MemberCondition;
import io.yuccaswitch.core.membership.MembershipSystem;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import io.yuccaswitch.core.registry.RegistryFreshness;
import io.yuccaswitch.core.route.RouteConfiguration;
import io.yuccaswitch.core.time.MonotonicTime;
import io.yuccaswitch.node.decision.DecisionLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A view of the core for the threads that serve callers: the active configuration, the working endpoints, and the nodes
 * that accept requests. Each value is immutable and is replaced as a whole.
 */
final class GatewayView implements ConfigurationView {

    /** The active configuration, if any. */
    private volatile Optional<RouteConfiguration> routes = Optional.empty();

    /** The working endpoints, or empty until the registry was read. */
    private volatile Optional<List<RegisteredEndpoint>> endpoints = Optional.empty();

    /** The freshness of the endpoints' state. */
    private volatile RegistryFreshness freshness = RegistryFreshness.UNKNOWN;

    /** The entry addresses of the nodes that accept requests. */
    private volatile List<String> addresses = List.of();

    /** The planned stop of this node, once it has begun. */
    private volatile Optional<PlannedStop> stop = Optional.empty();

    /**
     * Returns a system that updates the entry addresses of the nodes that accept requests.
     *
     * @param membership The membership of the site.
     * @return The system.
     */
    DecisionSystem observer(MembershipSystem membership) {
        return (Tick _tick) -> {
            List<String> current = new ArrayList<>();
            for (Member member : membership.working()) {
                boolean own = member.identity().equals(membership.self().identity());
                boolean serves = own ? isReady() : member.condition() == MemberCondition.ALIVE;
                if (serves) {
                    current.add(member.entryAddress());
                }
            }
            if (!current.equals(addresses)) {
                addresses = List.copyOf(current);
            }
        };
    }

    /**
     * Replaces the active configuration.
     *
     * @param configuration The configuration.
     */
    void replace(RouteConfiguration configuration) {
        routes = Optional.of(configuration);
    }

    /**
     * Replaces the working endpoints.
     *
     * @param working The endpoints.
     */
    void replace(List<RegisteredEndpoint> working) {
        endpoints = Optional.of(working);
    }

    /**
     * Replaces the freshness of the endpoints' state, and wakes the requests that wait for it.
     *
     * @param current The new freshness.
     */
    synchronized void updateFreshness(RegistryFreshness current) {
        freshness = current;
        notifyAll();
    }

    /**
     * Returns the freshness of the endpoints' state.
     *
     * @return The freshness.
     */
    RegistryFreshness freshness() {
        return freshness;
    }

    /**
     * Waits until the endpoints' state is fresh enough for a request to be sent. Usually it already is.
     *
     * @param timeout The maximum time to wait.
     * @return {@code true} if it is.
     */
    boolean awaitFreshness(Duration timeout) {
        MonotonicTime end = DecisionLoop.now().plus(timeout);
        if (freshness.allowsDispatch(DecisionLoop.now())) {
            return true;
        }
        synchronized (this) {
            long left = timeout.toMillis();
            while (left > 0 && !freshness.allowsDispatch(DecisionLoop.now())) {
                try {
                    wait(left);
                } catch (InterruptedException _exception) {
                    Thread.currentThread().interrupt();
                    return false;
                }
                left = end.since(DecisionLoop.now()).toMillis();
            }
        }
        return freshness.allowsDispatch(DecisionLoop.now());
    }

    /**
     * Returns whether an endpoint is among the working ones.
     *
     * @param name The name of its incarnation.
     * @return {@code true} if it is.
     */
    boolean isWorking(EndpointName name) {
        return endpoints.orElseGet(List::of).stream()
                .anyMatch(endpoint -> endpoint.name().equals(name));
    }

    /**
     * Records that this node is about to stop.
     *
     * @param begun The stop.
     */
    void beginStop(PlannedStop begun) {
        stop = Optional.of(begun);
    }

    /**
     * Returns whether this node is about to stop.
     *
     * @return {@code true} if it is.
     */
    boolean isLeaving() {
        return stop.isPresent();
    }

    /**
     * Returns whether a request that no endpoint has received yet may be sent to one.
     *
     * @param deadline The request's deadline.
     * @return {@code false} if a planned stop of this node may cut it.
     */
    boolean admits(MonotonicTime deadline) {
        return stop.map(begun -> begun.admits(deadline, DecisionLoop.now())).orElse(true);
    }

    /**
     * Returns the active configuration.
     *
     * @return The configuration, or empty if there is none.
     */
    Optional<RouteConfiguration> routes() {
        return routes;
    }

    /**
     * Returns whether the registry of endpoints was read.
     *
     * @return {@code true} if it was.
     */
    boolean hasEndpoints() {
        return endpoints.isPresent();
    }

    /**
     * Returns the working endpoints of a pool.
     *
     * @param pool The pool.
     * @return The endpoints.
     */
    List<RegisteredEndpoint> endpoints(PoolName pool) {
        return endpoints.orElseGet(List::of).stream()
                .filter(endpoint -> endpoint.pool().equals(pool))
                .toList();
    }

    /**
     * Returns the entry addresses of the nodes that accept requests.
     *
     * @return The addresses.
     */
    List<String> addresses() {
        return addresses;
    }

    @Override
    public boolean isReady() {
        return routes.isPresent() && endpoints.isPresent() && !isLeaving();
    }

    @Override
    public long heldGeneration() {
        return generation();
    }

    @Override
    public long generation() {
        return 0;
    }

    @Override
    public Optional<FleetConfiguration> active() {
        return Optional.empty();
    }

    @Override
    public Optional<MonotonicTime> activeSince() {
        return Optional.empty();
    }
}
