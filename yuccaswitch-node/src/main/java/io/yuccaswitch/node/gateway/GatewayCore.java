package io.yuccaswitch.node.gateway;

import io.yuccaswitch.core.batch.BatchSystem;
import io.yuccaswitch.core.configuration.MembershipSettings;
import io.yuccaswitch.core.decision.DecisionCore;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.decision.PacedSystem;
import io.yuccaswitch.core.duty.DutyLease;
import io.yuccaswitch.core.duty.LeaseRelaySystem;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.MembershipEvent;
import io.yuccaswitch.core.membership.MembershipMessage;
import io.yuccaswitch.core.membership.MembershipOptions;
import io.yuccaswitch.core.membership.MembershipSystem;
import io.yuccaswitch.core.modelversion.VersionSystems;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.platform.PlatformTokens;
import io.yuccaswitch.core.quarantine.QuarantineSystem;
import io.yuccaswitch.core.registry.EndpointRegistrySystem;
import io.yuccaswitch.core.retirement.RetirementSystem;
import io.yuccaswitch.core.route.RouteConfigurationSystem;
import io.yuccaswitch.core.scaling.ScalingSystem;
import io.yuccaswitch.core.usage.UsageCountSystem;
import io.yuccaswitch.core.usage.UsageCounts;
import io.yuccaswitch.core.usage.UsageReportSystem;
import io.yuccaswitch.core.usage.UsageWindows;
import io.yuccaswitch.core.watch.SharedWatches;
import io.yuccaswitch.node.decision.DecisionLoop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.ToIntFunction;

/** The decision core of a gateway. */
final class GatewayCore {

    /**
     * The times of the membership. A VM that is gone has to be known within about two seconds, as callers are sent to
     * it and its batch jobs wait meanwhile.
     */
    private static final MembershipSettings MEMBERSHIP =
            new MembershipSettings(Duration.ofMillis(400), Duration.ofMillis(700), Duration.ofSeconds(5));

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

    /** Keeps requests under which endpoints ended away from further ones. */
    private final QuarantineSystem quarantine;

    /** The batch jobs. */
    private final BatchSystem batches;

    /** The lease of the node that has the duties. */
    private final DutyLease lease;

    /** The core. */
    private final DecisionCore core;

    /**
     * Creates a core.
     *
     * @param self This node.
     * @param settings The settings.
     * @param dialects How others speak.
     * @param view What the threads that serve callers see.
     * @param timeOfDay Tells the time of day, in milliseconds since the epoch.
     */
    GatewayCore(
            Member self, GatewaySettings settings, GatewayDialects dialects, GatewayView view, LongSupplier timeOfDay) {
        PlatformTokens tokens = new PlatformTokens();
        membership = new MembershipSystem(self, settings.seeds(), view, tokens, OPTIONS, MEMBERSHIP);
        SharedWatches watches = new SharedWatches(membership);
        registry = new EndpointRegistrySystem(watches, tokens, dialects.endpointEntries());
        RouteConfigurationSystem routes = new RouteConfigurationSystem(watches, tokens, dialects.routeConfigurations());
        lease = new DutyLease(membership, tokens, settings.orderSafetyTime());
        VersionSystems versions =
                new VersionSystems(membership, registry, routes, tokens, dialects.namedVersions(), lease);
        quarantine = new QuarantineSystem(membership, tokens, registry, System::currentTimeMillis);
        batches = new BatchSystem(
                membership,
                watches,
                registry,
                routes,
                new JsonBatchCodec(),
                tokens,
                quarantine,
                System::currentTimeMillis);
        List<DecisionSystem> others = new ArrayList<>(List.of(
                routes,
                registry,
                lease,
                new LeaseRelaySystem(tokens),
                versions,
                new RetirementSystem(tokens, lease::isHeld),
                quarantine,
                batches,
                view.observer(membership)));
        settings.cloud().ifPresent(cloud -> others.addAll(duties(cloud, routes, tokens, timeOfDay)));
        core = new DecisionCore(
                List.of(membership, new PacedSystem(others, GatewayCore::concernsMembershipOnly, this::pace)),
                self.identity().hashCode());
    }

    /**
     * Creates the systems of what is to be done at the cloud.
     *
     * @param cloud How the cloud is called.
     * @param routes The configuration.
     * @param tokens Hands out the tokens of calls.
     * @param timeOfDay Tells the time of day, in milliseconds since the epoch.
     * @return The systems.
     */
    private List<DecisionSystem> duties(
            CloudSettings cloud, RouteConfigurationSystem routes, PlatformTokens tokens, LongSupplier timeOfDay) {
        List<DecisionSystem> systems = new ArrayList<>();
        if (cloud.includes(CloudSettings.Duty.USAGE)) {
            UsageWindows windows = new UsageWindows(cloud.usageWindow());
            UsageCounts counts = new UsageCounts();
            systems.add(new UsageCountSystem(membership, counts, windows, timeOfDay));
            systems.add(new UsageReportSystem(membership, lease, counts, windows, timeOfDay, tokens));
        }
        if (cloud.includes(CloudSettings.Duty.SCALE)) {
            ToIntFunction<PoolName> demand = pool -> batches.openItems(
                    routes.inForce().map(found -> found.models().get(pool)).orElseGet(Set::of));
            systems.add(new ScalingSystem(lease, registry, routes, demand));
        }
        return systems;
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

    /**
     * Returns how long the core may be left alone while no event arrives. A node that runs jobs or gives orders has
     * timers that count in tens of milliseconds. All others watch the membership and the platform, whose timers are
     * longer.
     *
     * @return The longest pause between two ticks.
     */
    Duration pace() {
        boolean busy = batches.runningJobs() > 0 || lease.isHeld() || quarantine.isBusy();
        return busy ? DecisionLoop.BUSY_INTERVAL : DecisionLoop.IDLE_INTERVAL;
    }

    /**
     * Returns whether an event concerns nothing but the exchange between members. What the membership learns from it is
     * raised as further events.
     *
     * @param event The event.
     * @return {@code true} if only the membership looks at it.
     */
    private static boolean concernsMembershipOnly(Event event) {
        return event instanceof MembershipEvent.PeerReported
                || (event instanceof PeerEvent.Received received && received.message() instanceof MembershipMessage);
    }
}
