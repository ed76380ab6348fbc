package io.yuccaswitch.node.gateway;

import io.yuccaswitch.core.batch.BatchSystem;
import io.yuccaswitch.core.configuration.MembershipSettings;
import io.yuccaswitch.core.decision.DecisionCore;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.MembershipOptions;
import io.yuccaswitch.core.membership.MembershipSystem;
import io.yuccaswitch.core.modelversion.VersionSystems;
import io.yuccaswitch.core.platform.PlatformTokens;
import io.yuccaswitch.core.registry.EndpointRegistrySystem;
import io.yuccaswitch.core.retirement.RetirementSystem;
import io.yuccaswitch.core.route.RouteConfigurationSystem;
import java.time.Duration;
import java.util.List;

/** The decision core of a gateway. */
final class GatewayCore {

    /**
     * The times of the membership. A VM that is gone has to be known within about two seconds, as callers are sent to
     * it and its batch jobs wait meanwhile.
     */
    private static final MembershipSettings MEMBERSHIP =
            new MembershipSettings(Duration.ofMillis(250), Duration.ofMillis(700), Duration.ofSeconds(5));

    /** The times of the membership that depend on how long a healthy node may take to answer. */
    private static final MembershipOptions OPTIONS = new MembershipOptions(
            Duration.ofMillis(250),
            Duration.ofMillis(700),
            3,
            Duration.ofSeconds(1),
            Duration.ofSeconds(3),
            Duration.ofMillis(300),
            Duration.ofSeconds(2),
            Duration.ofSeconds(3),
            Duration.ofHours(1),
            512);

    /** The nodes of the site. */
    private final MembershipSystem membership;

    /** The endpoints. */
    private final EndpointRegistrySystem registry;

    /** The batch jobs. */
    private final BatchSystem batches;

    /** The orders to engines. */
    private final VersionSystems versions;

    /** The core. */
    private final DecisionCore core;

    /**
     * Creates a core.
     *
     * @param self This node.
     * @param settings The settings.
     * @param dialects How others speak.
     * @param view What the threads that serve callers see.
     */
    GatewayCore(Member self, GatewaySettings settings, GatewayDialects dialects, GatewayView view) {
        PlatformTokens tokens = new PlatformTokens();
        membership = new MembershipSystem(self, settings.seeds(), view, tokens, OPTIONS, MEMBERSHIP);
        registry = new EndpointRegistrySystem(membership, tokens, dialects.endpointEntries());
        RouteConfigurationSystem routes =
                new RouteConfigurationSystem(membership, tokens, dialects.routeConfigurations());
        versions = new VersionSystems(
                membership, registry, routes, tokens, dialects.namedVersions(), settings.orderSafetyTime());
        batches =
                new BatchSystem(membership, registry, routes, new JsonBatchCodec(), tokens, System::currentTimeMillis);
        core = new DecisionCore(
                List.of(
                        routes,
                        registry,
                        membership,
                        versions,
                        new RetirementSystem(tokens, versions::givesOrders),
                        batches,
                        view.observer(membership)),
                self.identity().hashCode());
    }

    /**
     * Returns the core.
     *
     * @return The core.
     */
    DecisionCore core() {
        return core;
    }

    /**
     * Returns the nodes of the site.
     *
     * @return The membership.
     */
    MembershipSystem membership() {
        return membership;
    }

    /**
     * Returns the batch jobs.
     *
     * @return The system.
     */
    BatchSystem batches() {
        return batches;
    }
}
