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

/** Brings engines to the versions that trainers name: the versions, and the orders of the node that has the duty. */
public final class VersionSystems implements DecisionSystem {

    /** The kind of the objects in which trainers name versions. */
    public static final String KIND = "model-version";

    /** The parts, in the order in which they run. */
    private final List<DecisionSystem> parts;

    /**
     * Creates a system that gives no orders.
     *
     * @param membership The nodes of the site.
     * @param registry The engines.
     * @param routes The configuration of routes.
     * @param tokens Hands out the tokens of calls.
     * @param decoder Reads a version, or returns empty where it can't be read.
     * @param lease The lease of the node that gives the orders.
     */
    public VersionSystems(
            MembershipView membership,
            EndpointRegistrySystem registry,
            RouteConfigurationSystem routes,
            PlatformTokens tokens,
            Function<StoredObject, Optional<NamedVersion>> decoder,
            DutyLease lease) {
        NamedVersionSystem versions = new NamedVersionSystem(tokens, decoder, lease, membership);
        parts = List.of(
                versions,
                new VersionOrderSystem(lease, versions, registry, routes),
                new VersionRelaySystem(tokens, decoder));
    }

    @Override
    public void run(Tick tick) {
        parts.forEach(part -> part.run(tick));
    }
}
