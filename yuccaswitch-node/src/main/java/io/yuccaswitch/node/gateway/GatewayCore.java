package io.yuccaswitch.node.gateway;

import io.yuccaswitch.core.batch.BatchSystem;
import io.yuccaswitch.core.batch.SchedulingOptions;
import io.yuccaswitch.core.configuration.MembershipSettings;
import io.yuccaswitch.core.decision.DecisionCore;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.decision.ThrottledSystem;
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
     * The timeouts and intervals of the membership. A failed VM must be detected within about two seconds, because
     * callers are still sent to it and its batch jobs wait until then.
     */
    private static final MembershipSettings MEMBERSHIP_SETTINGS =
            new MembershipSettings(Duration.ofMillis(400), Duration.ofMillis(700), Duration.ofSeconds(5));

    /** The timeouts of the membership that depend on the response time of a healthy node. */
    private static final MembershipOptions MEMBERSHIP_OPTIONS = new MembershipOptions(
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

    /** The membership of the site. */
    private final MembershipSystem membership;

    /** The registry of endpoints. */
    private final EndpointRegistrySystem registry;

    /** Withholds requests on which endpoints crashed. */
    private final QuarantineSystem quarantine;

    /** The batch jobs. */
    private final BatchSystem batches;

    /** The lease of the node that holds the duties. */
    private final DutyLease lease;

    /** The decision core. */
    private final DecisionCore core;

    /**
     * Creates a core.
     *
     * @param self This node.
     * @param settings The settings.
     * @param dialects The wire dialects.
     * @param view The view of the core for the threads that serve callers.
     * @param timeOfDay Supplies the time of day, in milliseconds since the epoch.
     */
    GatewayCore(
            Member self, GatewaySettings settings, GatewayDialects dialects, GatewayView view, LongSupplier timeOfDay) {
        PlatformTokens tokens = new PlatformTokens();
        membership =
                new MembershipSystem(self, settings.seeds(), view, tokens, MEMBERSHIP_OPTIONS, MEMBERSHIP_SETTINGS);
        SharedWatches watches = new SharedWatches(membership);
        registry = new EndpointRegistrySystem(watches, tokens, dialects.endpointEntries());
        RouteConfigurationSystem routes = new RouteConfigurationSystem(watches, tokens, dialects.routeConfigurations());
        lease = new DutyLease(membership, tokens, settings.orderSafetyTime());
        quarantine = new QuarantineSystem(membership, tokens, registry, System::currentTimeMillis);
        batches = new BatchSystem(
                membership,
                watches,
                registry,
                routes,
                new JsonBatchCodec(),
                tokens,
                quarantine,
                settings.scheduling().map(SchedulingSettings::batch).orElse(SchedulingOptions.NONE),
                System::currentTimeMillis);
        VersionSystems versions = new VersionSystems(
                membership, registry, routes, tokens, dialects.namedVersions(), lease, batches.modelDemand());
        List<DecisionSystem> throttledSystems = new ArrayList<>(List.of(
                routes,
                registry,
                lease,
                new LeaseRelaySystem(tokens),
                versions,
                new RetirementSystem(tokens, lease::isHeld),
                quarantine,
                batches,
                view.observer(membership)));
        settings.cloud().ifPresent(cloud -> throttledSystems.addAll(cloudSystems(cloud, routes, tokens, timeOfDay)));
        core = new DecisionCore(
                List.of(
                        membership,
                        new ThrottledSystem(
                                throttledSystems, GatewayCore::concernsMembershipOnly, this::maximumTickInterval)),
                self.identity().hashCode());
    }

    /**
     * Creates the systems that perform the duties at the cloud.
     *
     * @param cloud The settings of the cloud.
     * @param routes The system that holds the route configuration.
     * @param tokens Allocates the tokens of calls.
     * @param timeOfDay Supplies the time of day, in milliseconds since the epoch.
     * @return The systems.
     */
    private List<DecisionSystem> cloudSystems(
            CloudSettings cloud, RouteConfigurationSystem routes, PlatformTokens tokens, LongSupplier timeOfDay) {
        List<DecisionSystem> systems = new ArrayList<>();
        if (cloud.includes(CloudSettings.Duty.USAGE)) {
            UsageWindows windows = new UsageWindows(cloud.usageWindow());
            UsageCounts counts = new UsageCounts();
            systems.add(new UsageCountSystem(membership, counts, windows, timeOfDay));
            systems.add(new UsageReportSystem(membership, lease, counts, windows, timeOfDay, tokens));
        }
        if (cloud.includes(CloudSettings.Duty.SCALE)) {
            ToIntFunction<PoolName> demand = pool -> batches.openItems(routes.active()
                    .map(configuration -> configuration.models().get(pool))
                    .orElseGet(Set::of));
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
     * Returns the membership of the site.
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
     * Returns the maximum pause between two ticks while no event arrives. A node that runs jobs or sends orders has
     * timers in the range of tens of milliseconds. All other nodes only follow the membership and the platform, whose
     * timers are longer.
     *
     * @return The maximum pause between two ticks.
     */
    Duration maximumTickInterval() {
        boolean busy = batches.runningJobs() > 0 || lease.isHeld() || quarantine.isBusy();
        return busy ? DecisionLoop.BUSY_INTERVAL : DecisionLoop.IDLE_INTERVAL;
    }

    /**
     * Returns whether an event concerns only the exchange between members. The membership publishes the resulting
     * changes as further events.
     *
     * @param event The event.
     * @return {@code true} if only the membership processes it.
     */
    private static boolean concernsMembershipOnly(Event event) {
        return event instanceof MembershipEvent.PeerReported
                || (event instanceof PeerEvent.Received received && received.message() instanceof MembershipMessage);
    }
}
