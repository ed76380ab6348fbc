package io.yuccaswitch.core.endpoint;

import io.yuccaswitch.core.configuration.ConfigurationEvent;
import io.yuccaswitch.core.configuration.EndpointSettings;
import io.yuccaswitch.core.configuration.EntrySettings;
import io.yuccaswitch.core.configuration.FencingSupport;
import io.yuccaswitch.core.configuration.FleetConfiguration;
import io.yuccaswitch.core.configuration.LeaseSettings;
import io.yuccaswitch.core.configuration.LimitSettings;
import io.yuccaswitch.core.configuration.MembershipSettings;
import io.yuccaswitch.core.configuration.PoolKind;
import io.yuccaswitch.core.configuration.PoolSettings;
import io.yuccaswitch.core.configuration.RetrySettings;
import io.yuccaswitch.core.configuration.RoutingPolicyKind;
import io.yuccaswitch.core.configuration.RoutingSettings;
import io.yuccaswitch.core.configuration.WeightSettings;
import io.yuccaswitch.core.configuration.ZoneSettings;
import io.yuccaswitch.core.decision.DecisionCore;
import io.yuccaswitch.core.decision.Effect;
import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.decision.TickResult;
import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.MemberCondition;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.platform.PlatformTokens;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Runs the endpoint systems of one node with events and a clock that the test controls. */
final class EndpointFixture {

    static final PoolName POOL = new PoolName("matcher-lm");
    static final AvailabilityZone ZONE = new AvailabilityZone("salt-lake");
    static final Duration INTERVAL = Duration.ofMillis(500);
    static final Duration MAXIMUM_AGE = Duration.ofSeconds(5);

    final EndpointTable table = new EndpointTable();
    final List<Effect> effects = new ArrayList<>();
    final List<String> decisions = new ArrayList<>();
    private final DecisionCore core;
    private MonotonicTime now = MonotonicTime.ZERO;

    EndpointFixture(String node, String... nodes) {
        MembershipView membership = membership(node, nodes);
        NodeName name = new NodeName(node);
        core = new DecisionCore(
                List.of(
                        new VirtualMachineListSystem(ZONE, table, membership, new PlatformTokens()),
                        new EndpointSystem(table, new LeavingAnnouncer.RandomSubset(membership)),
                        new ProbeSystem(name, ZONE, table)),
                7);
    }

    static EndpointFixture withEndpoints(int endpoints) {
        EndpointFixture fixture = new EndpointFixture("vm-1", "vm-1", "vm-2", "vm-3");
        fixture.tick(inForce(1, endpoints, 16));
        return fixture;
    }

    TickResult tick(Event... events) {
        TickResult result = core.tick(now, List.of(events));
        effects.addAll(result.effects());
        result.decisions().forEach(decision -> decisions.add(decision.subject() + " " + decision.choice()));
        return result;
    }

    /** Advances the clock in steps of 50 ms, with a tick after each step. */
    void advance(Duration duration) {
        MonotonicTime end = now.plus(duration);
        while (now.isBefore(end)) {
            now = now.plus(Duration.ofMillis(50));
            tick();
        }
    }

    MonotonicTime now() {
        return now;
    }

    <T extends Effect> List<T> take(Class<T> type) {
        List<T> taken =
                effects.stream().filter(type::isInstance).map(type::cast).toList();
        effects.clear();
        return taken;
    }

    EndpointCondition condition(int endpoint) {
        return table.find(name(endpoint)).orElseThrow().condition();
    }

    Event reported(int endpoint, String incarnation, boolean leaving) {
        return new EndpointEvent.Reported(
                name(endpoint), incarnation, new LoadReport(now, 1, 0, 32, 0.1), Map.of("base", 3L), leaving);
    }

    static Event received(String sender, EndpointMessage message) {
        return new PeerEvent.Received(new NodeIdentity(new NodeName(sender), 1), message);
    }

    static EndpointName name(int endpoint) {
        return new EndpointName(POOL, String.format("e%03d", endpoint));
    }

    static String address(int endpoint) {
        return "10.0.0." + endpoint + ":80";
    }

    static Event inForce(long generation, int endpoints, int subsetSize) {
        Map<String, EndpointSettings> settings = new LinkedHashMap<>();
        for (int index = 0; index < endpoints; index++) {
            AvailabilityZone zone = index % 2 == 0 ? ZONE : new AvailabilityZone("garia");
            settings.put(name(index).value(), new EndpointSettings(address(index), zone, 1));
        }
        return new ConfigurationEvent.Activated(generation, configuration(settings, subsetSize));
    }

    static FleetConfiguration configuration(Map<String, EndpointSettings> endpoints, int subsetSize) {
        PoolSettings pool = new PoolSettings(
                PoolKind.ENGINE,
                endpoints,
                FencingSupport.IGNORED,
                false,
                new RoutingSettings(RoutingPolicyKind.POWER_OF_TWO_CHOICES, subsetSize, INTERVAL, MAXIMUM_AGE, 0.5),
                new LimitSettings(8, 64, 256, Duration.ofSeconds(60)),
                new RetrySettings(
                        0.1,
                        3,
                        Duration.ofMillis(25),
                        Duration.ofSeconds(1),
                        Optional.empty(),
                        5,
                        Duration.ofSeconds(5),
                        0.5),
                new WeightSettings(0.5, Duration.ofSeconds(10), Duration.ofSeconds(2), Duration.ofSeconds(1)));
        return new FleetConfiguration(
                "padma",
                Map.of(ZONE, new ZoneSettings("kolkata")),
                Map.of(POOL, pool),
                Map.of(),
                Map.of(),
                Optional.empty(),
                new EntrySettings(Duration.ofSeconds(10), Duration.ofMinutes(2), 4096),
                new MembershipSettings(Duration.ofMillis(250), Duration.ofSeconds(3), Duration.ofSeconds(2)),
                new LeaseSettings(Duration.ofSeconds(10), Duration.ofSeconds(2)));
    }

    private static MembershipView membership(String self, String... nodes) {
        Map<NodeName, Member> members = new LinkedHashMap<>();
        for (String node : nodes) {
            NodeName name = new NodeName(node);
            members.put(
                    name, new Member(new NodeIdentity(name, 1), ZONE, "kolkata", "", "", "", MemberCondition.ALIVE));
        }
        return new MembershipView() {
            @Override
            public Member self() {
                return members.get(new NodeName(self));
            }

            @Override
            public Collection<Member> working() {
                return members.values();
            }

            @Override
            public Optional<Member> find(NodeName name) {
                return Optional.ofNullable(members.get(name));
            }
        };
    }
}
