package io.yuccaswitch.core.modelversion;

import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.duty.DutyLease;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.platform.PlatformTokens;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.registry.EndpointRegistrySystem;
import io.yuccaswitch.core.route.RouteConfigurationSystem;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/** Updates engines to the versions that trainers name: combines the systems for versions, orders and relaying. */
public final class VersionSystems implements DecisionSystem {

    /** The kind of the objects in which trainers name versions. */
    public static final String KIND = "model-version";

    /** The systems, in the order in which they run. */
    private final List<DecisionSystem> systems;

    /**
     * Creates a system that gives no orders.
     *
     * @param membership The nodes of the site.
     * @param registry The registry of engines.
     * @param routes The configuration of routes.
     * @param tokens Allocates the tokens of calls.
     * @param decoder Decodes a version, or returns empty if the object is malformed.
     * @param lease The lease of the node that gives the orders.
     */
    public VersionSystems(
            MembershipView membership,
            EndpointRegistrySystem registry,
            RouteConfigurationSystem routes,
            PlatformTokens tokens,
            Function<StoredObject, Optional<NamedVersion>> decoder,
            DutyLease lease) {
        this(membership, registry, routes, tokens, decoder, lease, Optional.empty());
    }

    /**
     * Creates a system that gives no orders. It runs before the system that runs items, which handles notices of loads
     * in the same tick.
     *
     * @param membership The nodes of the site.
     * @param registry The registry of engines.
     * @param routes The configuration of routes.
     * @param tokens Allocates the tokens of calls.
     * @param decoder Decodes a version, or returns empty if the object is malformed.
     * @param lease The lease of the node that gives the orders.
     * @param demand The demand for models, or empty if loads are not coordinated with it.
     */
    public VersionSystems(
            MembershipView membership,
            EndpointRegistrySystem registry,
            RouteConfigurationSystem routes,
            PlatformTokens tokens,
            Function<StoredObject, Optional<NamedVersion>> decoder,
            DutyLease lease,
            Optional<ModelDemand> demand) {
        NamedVersionSystem versions = new NamedVersionSystem(tokens, decoder, lease, membership);
        systems = List.of(
                versions,
                new VersionOrderSystem(lease, versions, registry, routes, demand),
                new VersionRelaySystem(tokens, decoder));
    }

    @Override
    public void run(Tick tick) {
        systems.forEach(system -> system.run(tick));
    }
}
