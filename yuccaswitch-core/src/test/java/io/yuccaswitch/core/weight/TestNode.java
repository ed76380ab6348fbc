package io.yuccaswitch.core.weight;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionCore;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.decision.TickResult;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.lease.HeldLease;
import io.yuccaswitch.core.lease.LeaseName;
import io.yuccaswitch.core.lease.LeaseSystem;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.platform.PlatformTokens;
import io.yuccaswitch.core.time.MonotonicTime;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

/** A node with the lease and weight systems, whose ticks are driven by the test. */
final class TestNode {

    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    final NodeIdentity identity;

    final List<Event> inbox = new ArrayList<>();

    final List<Decision> decisions = new ArrayList<>();

    final List<WeightEvent> raised = new ArrayList<>();

    final VersionTable versions = new VersionTable();

    final WeightTables tables = new WeightTables();

    final LeaseSystem leases;

    MonotonicTime pausedUntil = new MonotonicTime(Long.MIN_VALUE);

    MonotonicTime lastPlatformContactAt = MonotonicTime.ZERO;

    /** The processor time that this node's ticks used. */
    long processorNanos;

    boolean partitioned;

    boolean partitionedFromPlatform;

    private final TestSite site;

    private final DecisionCore core;

    TestNode(TestSite site, NodeIdentity identity, long seed) {
        this.site = site;
        this.identity = identity;
        PlatformTokens tokens = new PlatformTokens();
        MembershipView members = new SiteMembership();
        leases = new LeaseSystem(WeightPlans::leases, members, tokens, this::platformUnreachableFor);
        DecisionSystem recorder = tick -> raised.addAll(tick.events(WeightEvent.class));
        core = new DecisionCore(
                List.of(
                        leases,
                        new VersionSystem(versions, new VersionStore(tokens), members),
                        new EngineTrackingSystem(tables, leases),
                        new PlacementSystem(tables, versions),
                        new WeightRolloutSystem(tables, versions, leases),
                        recorder),
                seed);
    }

    TickResult tick(MonotonicTime now) {
        List<Event> events = List.copyOf(inbox);
        inbox.clear();
        long startedAt = THREADS.getCurrentThreadCpuTime();
        TickResult result = core.tick(now, events);
        processorNanos += THREADS.getCurrentThreadCpuTime() - startedAt;
        decisions.addAll(result.decisions());
        return result;
    }

    Optional<HeldLease> held(String pool, MonotonicTime now) {
        return leases.held(LeaseName.ofWeights(new PoolName(pool)), now);
    }

    boolean isPaused(MonotonicTime now) {
        return now.isBefore(pausedUntil);
    }

    private Optional<Duration> platformUnreachableFor(MonotonicTime now) {
        List<TestNode> reached = site.reachableFrom(this);
        if (2 * reached.size() < site.nodes.size()) {
            return Optional.empty();
        }
        return reached.stream()
                .map(node -> now.since(node.lastPlatformContactAt))
                .min(Duration::compareTo);
    }

    private final class SiteMembership implements MembershipView {

        @Override
        public Member self() {
            return site.member(identity.name());
        }

        @Override
        public Collection<Member> working() {
            return site.reachableFrom(TestNode.this).stream()
                    .map(node -> site.member(node.identity.name()))
                    .filter(Member::acceptsWork)
                    .toList();
        }

        @Override
        public Optional<Member> find(NodeName name) {
            return working().stream()
                    .filter(member -> member.identity().name().equals(name))
                    .findFirst();
        }
    }
}
