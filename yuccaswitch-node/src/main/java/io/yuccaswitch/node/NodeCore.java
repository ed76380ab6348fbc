package io.yuccaswitch.node;

import io.yuccaswitch.core.configuration.distribution.ConfigurationState;
import io.yuccaswitch.core.configuration.distribution.ConfigurationSystem;
import io.yuccaswitch.core.decision.DecisionCore;
import io.yuccaswitch.core.endpoint.EndpointSystem;
import io.yuccaswitch.core.endpoint.EndpointTable;
import io.yuccaswitch.core.endpoint.LeavingAnnouncer;
import io.yuccaswitch.core.endpoint.ProbeSystem;
import io.yuccaswitch.core.endpoint.VirtualMachineListSystem;
import io.yuccaswitch.core.lease.LeaseSystem;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.MembershipOptions;
import io.yuccaswitch.core.membership.MembershipSystem;
import io.yuccaswitch.core.platform.PlatformTokens;
import io.yuccaswitch.core.quarantine.EndpointStates;
import io.yuccaswitch.core.quarantine.QuarantineSystem;
import io.yuccaswitch.core.request.RequestClock;
import io.yuccaswitch.core.request.RequestSystem;
import io.yuccaswitch.core.sample.SampleSystem;
import io.yuccaswitch.core.weight.EngineTrackingSystem;
import io.yuccaswitch.core.weight.PlacementSystem;
import io.yuccaswitch.core.weight.VersionStore;
import io.yuccaswitch.core.weight.VersionSystem;
import io.yuccaswitch.core.weight.VersionTable;
import io.yuccaswitch.core.weight.WeightPlans;
import io.yuccaswitch.core.weight.WeightRolloutSystem;
import io.yuccaswitch.core.weight.WeightTables;
import java.util.List;

/**
 * The decision core of a node with all its systems, in the order in which they run: membership, configuration,
 * endpoints, leases, weights, samples and requests.
 */
final class NodeCore {

    /** The configuration. */
    private final ConfigurationState configuration = new ConfigurationState();

    /** The table of endpoints. */
    private final EndpointTable endpoints = new EndpointTable();

    /** The newest versions of the trainers. */
    private final VersionTable versions = new VersionTable();

    /** The engines and models of the pools whose weights this node distributes. */
    private final WeightTables weights = new WeightTables();

    /** The membership. */
    private final MembershipSystem membership;

    /** The leases. */
    private final LeaseSystem leases;

    /** The quarantine, which withholds requests during which endpoints ended from further endpoints. */
    private final QuarantineSystem quarantine;

    /** The request path. */
    private final RequestSystem requests;

    /** The samples. */
    private final SampleSystem samples;

    /** The core that runs all systems. */
    private final DecisionCore core;

    /**
     * Creates a core.
     *
     * @param self This node as a member.
     * @param seeds The peer addresses of nodes to contact first.
     * @param clock The clock that computes the windows of request ids.
     * @param seed The seed of the core's randomness.
     * @param observer Runs at the end of each tick, after all systems.
     */
    NodeCore(Member self, List<String> seeds, RequestClock clock, long seed, NodeObserver observer) {
        PlatformTokens tokens = new PlatformTokens();
        membership = new MembershipSystem(self, seeds, configuration, tokens, MembershipOptions.DEFAULT);
        leases = new LeaseSystem(WeightPlans::leases, membership, tokens, membership.platformReachability());
        quarantine =
                new QuarantineSystem(membership, tokens, EndpointStates.Unknown.INSTANCE, System::currentTimeMillis);
        requests = new RequestSystem(membership, endpoints, clock, tokens, quarantine);
        samples = new SampleSystem(membership, tokens, clock);
        core = new DecisionCore(
                List.of(
                        membership,
                        new ConfigurationSystem(configuration, membership, tokens),
                        new VirtualMachineListSystem(self.availabilityZone(), endpoints, membership, tokens),
                        new EndpointSystem(endpoints, new LeavingAnnouncer.RandomSubset(membership)),
                        new ProbeSystem(self.identity().name(), self.availabilityZone(), endpoints),
                        leases,
                        new VersionSystem(versions, new VersionStore(tokens), membership),
                        new EngineTrackingSystem(weights, leases),
                        new PlacementSystem(weights, versions),
                        new WeightRolloutSystem(weights, versions, leases),
                        quarantine,
                        samples.beforeRequests(),
                        requests,
                        samples.afterRequests(),
                        tick -> observer.run(tick, membership.working().size())),
                seed);
    }

    /**
     * Returns the core that runs all systems.
     *
     * @return The core.
     */
    DecisionCore core() {
        return core;
    }

    /**
     * Returns the configuration.
     *
     * @return The configuration.
     */
    ConfigurationState configuration() {
        return configuration;
    }

    /**
     * Returns the table of endpoints.
     *
     * @return The table of endpoints.
     */
    EndpointTable endpoints() {
        return endpoints;
    }

    /**
     * Returns the newest versions of the trainers.
     *
     * @return The newest versions.
     */
    VersionTable versions() {
        return versions;
    }

    /**
     * Returns the engines and models of the pools.
     *
     * @return The engines and models.
     */
    WeightTables weights() {
        return weights;
    }

    /**
     * Returns the membership.
     *
     * @return The membership.
     */
    MembershipSystem membership() {
        return membership;
    }

    /**
     * Returns the leases.
     *
     * @return The leases.
     */
    LeaseSystem leases() {
        return leases;
    }

    /**
     * Returns the quarantine of requests during which endpoints ended.
     *
     * @return The quarantine.
     */
    QuarantineSystem quarantine() {
        return quarantine;
    }

    /**
     * Returns the request path.
     *
     * @return The request path.
     */
    RequestSystem requests() {
        return requests;
    }

    /**
     * Returns the samples.
     *
     * @return The samples.
     */
    SampleSystem samples() {
        return samples;
    }
}
