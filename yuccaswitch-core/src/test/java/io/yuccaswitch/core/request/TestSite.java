package io.yuccaswitch.core.request;

import io.yuccaswitch.core.configuration.ConfigurationEvent;
import io.yuccaswitch.core.configuration.FleetConfiguration;
import io.yuccaswitch.core.configuration.PoolKind;
import io.yuccaswitch.core.configuration.PriorityClass;
import io.yuccaswitch.core.decision.DecisionCore;
import io.yuccaswitch.core.decision.Effect;
import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.endpoint.Endpoint;
import io.yuccaswitch.core.endpoint.EndpointCondition;
import io.yuccaswitch.core.endpoint.EndpointView;
import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.MemberCondition;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.peer.PeerMessage;
import io.yuccaswitch.core.platform.ObjectKey;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.PlatformTokens;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.quarantine.EndpointStates;
import io.yuccaswitch.core.quarantine.Quarantine;
import io.yuccaswitch.core.quarantine.QuarantineSystem;
import io.yuccaswitch.core.time.MonotonicTime;
import io.yuccaswitch.core.value.Bytes;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * A few decision cores that a test controls step by step: messages, platform answers and attempts are held back until
 * the test processes them.
 */
final class TestSite {

    final Map<String, Node> nodes = new TreeMap<>();
    final List<Envelope> envelopes = new ArrayList<>();
    final List<PlatformCall> platformCalls = new ArrayList<>();
    final Map<ObjectKey, Bytes> platform = new HashMap<>();
    final FleetConfiguration configuration;
    MonotonicTime now = new MonotonicTime(1_000_000_000L);
    private final boolean quarantineEnabled;
    private long incarnations = 1;

    TestSite(FleetConfiguration configuration, int size) {
        this(configuration, size, false);
    }

    /** Starts nodes, optionally with the quarantine of requests that make endpoints terminate. */
    TestSite(FleetConfiguration configuration, int size, boolean quarantineEnabled) {
        this.configuration = configuration;
        this.quarantineEnabled = quarantineEnabled;
        for (int index = 0; index < size; index++) {
            start("n" + index);
        }
    }

    /** Starts or restarts a node with a new incarnation. */
    Node start(String name) {
        Node node = new Node(new NodeIdentity(new NodeName(name), incarnations++), "z" + name.charAt(1));
        nodes.put(name, node);
        node.tick(new ConfigurationEvent.Activated(1, configuration));
        return node;
    }

    Node node(String name) {
        return nodes.get(name);
    }

    void advance(Duration duration) {
        now = now.plus(duration);
        tickAll();
    }

    void tickAll() {
        List.copyOf(nodes.values()).forEach(Node::tick);
    }

    /** Delivers all messages, including those that result from the delivery. */
    void deliverAll() {
        while (!envelopes.isEmpty()) {
            deliver(envelopes.remove(0));
        }
    }

    void deliver(Envelope envelope) {
        Node target = nodes.get(envelope.target().value());
        if (target != null && target.alive) {
            target.tick(new PeerEvent.Received(envelope.sender(), envelope.message()));
        }
    }

    /** Executes the pending platform calls and delivers their answers. */
    void answerPlatformCalls() {
        while (!platformCalls.isEmpty()) {
            PlatformCall call = platformCalls.remove(0);
            call.node().tick(apply(call.effect()));
        }
    }

    PlatformEvent apply(PlatformEffect effect) {
        if (effect instanceof PlatformEffect.Write write) {
            Bytes current = platform.putIfAbsent(write.key(), write.value());
            return current == null
                    ? new PlatformEvent.Accepted(write.token(), 1)
                    : new PlatformEvent.Conflict(
                            write.token(), Optional.of(new StoredObject(write.key(), 1, current, false)));
        }
        PlatformEffect.Read read = (PlatformEffect.Read) effect;
        return new PlatformEvent.ObjectRead(
                read.token(),
                Optional.ofNullable(platform.get(read.key()))
                        .map(value -> new StoredObject(read.key(), 1, value, false)));
    }

    Request request(String id, boolean idempotent) {
        return request(id, idempotent, PriorityClass.NORMAL, Duration.ofSeconds(20));
    }

    Request request(String id, boolean idempotent, PriorityClass priority, Duration timeLeft) {
        return new Request(
                new RequestId(id),
                TestConfigurations.LEDGER,
                TestConfigurations.CALLER,
                priority,
                idempotent,
                false,
                now.plus(timeLeft),
                "POST",
                "/post",
                "text/plain",
                Bytes.ofUtf8("body"),
                Optional.empty(),
                0,
                List.of(),
                0,
                0);
    }

    record Envelope(NodeIdentity sender, NodeName target, PeerMessage message) {}

    record PlatformCall(Node node, PlatformEffect effect) {}

    /** A node with its decision core. */
    final class Node implements MembershipView, EndpointView {

        final NodeIdentity identity;
        final AvailabilityZone availabilityZone;
        final DecisionCore core;
        final RequestSystem system;
        final List<RequestEffect.Send> sends = new ArrayList<>();
        final List<RequestEffect.Stream> streams = new ArrayList<>();
        final List<RequestEffect.Settle> settles = new ArrayList<>();
        final List<RequestEffect.CancelAttempt> cancels = new ArrayList<>();
        final List<RequestEffect.LookedUp> lookups = new ArrayList<>();
        final List<RequestEffect.Conclude> conclusions = new ArrayList<>();
        final Map<String, MemberCondition> observedConditions = new HashMap<>();
        final Map<String, EndpointCondition> endpointConditions = new LinkedHashMap<>();
        boolean alive = true;

        Node(NodeIdentity identity, String availabilityZone) {
            this.identity = identity;
            this.availabilityZone = new AvailabilityZone(availabilityZone);
            PlatformTokens tokens = new PlatformTokens();
            QuarantineSystem quarantine = new QuarantineSystem(
                    this, tokens, EndpointStates.Unknown.INSTANCE, () -> now.nanoseconds() / 1_000_000);
            system = new RequestSystem(
                    this,
                    this,
                    new RequestClock(now, 60_000_000),
                    tokens,
                    quarantineEnabled ? quarantine : Quarantine.NoOp.INSTANCE);
            core = new DecisionCore(
                    quarantineEnabled ? List.of(quarantine, system) : List.of(system), identity.incarnation());
        }

        void tick(Event... events) {
            if (alive) {
                core.tick(now, List.of(events)).effects().forEach(this::handleEffect);
            }
        }

        private void handleEffect(Effect effect) {
            if (effect instanceof RequestEffect.Send send) {
                sends.add(send);
            } else if (effect instanceof RequestEffect.Stream stream) {
                streams.add(stream);
            } else if (effect instanceof RequestEffect.Settle settle) {
                settles.add(settle);
            } else if (effect instanceof RequestEffect.CancelAttempt cancel) {
                cancels.add(cancel);
            } else if (effect instanceof RequestEffect.LookedUp lookup) {
                lookups.add(lookup);
            } else if (effect instanceof RequestEffect.Conclude conclude) {
                conclusions.add(conclude);
            } else if (effect instanceof PeerEffect.Send send) {
                envelopes.add(new Envelope(identity, send.target(), send.message()));
            } else if (effect instanceof PlatformEffect call) {
                platformCalls.add(new PlatformCall(this, call));
            }
        }

        void arrive(Request request) {
            tick(new RequestEvent.Arrived(request));
        }

        RequestEffect.Send lastSend() {
            return sends.get(sends.size() - 1);
        }

        Outcome lastOutcome() {
            return conclusions.get(conclusions.size() - 1).outcome();
        }

        void end(RequestEffect.Send send, AttemptResult result) {
            tick(new RequestEvent.AttemptEnded(send.id(), send.attempt(), send.endpoint(), result));
        }

        void answer(RequestEffect.Send send, String text) {
            end(send, new AttemptResult.Complete(200, "text/plain", Bytes.ofUtf8(text), Optional.empty()));
        }

        /** Returns an id with a prefix that this node issues. */
        String id(String suffix) {
            return system.clock().prefix(identity, now) + suffix;
        }

        void kill() {
            alive = false;
        }

        @Override
        public Member self() {
            return member(identity, availabilityZone, MemberCondition.ALIVE);
        }

        @Override
        public Collection<Member> working() {
            return nodes.values().stream()
                    .map(node -> member(node.identity, node.availabilityZone, observedCondition(node)))
                    .filter(Member::acceptsWork)
                    .toList();
        }

        @Override
        public Optional<Member> find(NodeName name) {
            return Optional.ofNullable(nodes.get(name.value()))
                    .map(node -> member(node.identity, node.availabilityZone, observedCondition(node)));
        }

        private MemberCondition observedCondition(Node node) {
            return observedConditions.getOrDefault(node.identity.toString(), MemberCondition.ALIVE);
        }

        private Member member(NodeIdentity name, AvailabilityZone availabilityZone, MemberCondition condition) {
            return new Member(name, availabilityZone, "local", "h:1", "h:2", "h:3", condition);
        }

        @Override
        public List<Endpoint> candidates(PoolName pool) {
            return configuration.pools().get(pool).endpoints().entrySet().stream()
                    .filter(entry -> endpointConditions.getOrDefault(entry.getKey(), EndpointCondition.LIVE)
                            == EndpointCondition.LIVE)
                    .map(entry -> new Endpoint(
                            new EndpointName(pool, entry.getKey()),
                            PoolKind.SERVICE,
                            entry.getValue().address(),
                            entry.getValue().availabilityZone(),
                            EndpointCondition.LIVE,
                            Optional.empty(),
                            Optional.empty(),
                            Map.of()))
                    .sorted(java.util.Comparator.comparing(Endpoint::name))
                    .toList();
        }
    }
}
