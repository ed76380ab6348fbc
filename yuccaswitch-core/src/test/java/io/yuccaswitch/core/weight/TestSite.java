package io.yuccaswitch.core.weight;

import io.yuccaswitch.core.configuration.ConfigurationEvent;
import io.yuccaswitch.core.configuration.EndpointSettings;
import io.yuccaswitch.core.configuration.FencingSupport;
import io.yuccaswitch.core.configuration.FleetConfiguration;
import io.yuccaswitch.core.configuration.LeaseSettings;
import io.yuccaswitch.core.configuration.PoolKind;
import io.yuccaswitch.core.configuration.PoolSettings;
import io.yuccaswitch.core.configuration.TrainerSettings;
import io.yuccaswitch.core.configuration.WeightSettings;
import io.yuccaswitch.core.configuration.WeightStoreSettings;
import io.yuccaswitch.core.decision.Effect;
import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.endpoint.EndpointEffect;
import io.yuccaswitch.core.endpoint.EndpointEvent;
import io.yuccaswitch.core.endpoint.LoadReport;
import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.identity.TrainerName;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.MemberCondition;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * A site of several decision cores under simulated time. Each step advances the clock and passes the effects of each
 * core to a fake platform, fake engines and the other cores.
 */
final class TestSite {

    Duration stepLength = Duration.ofMillis(50);

    static final String POOL = "pool";

    static final Duration LEASE = Duration.ofSeconds(10);

    static final Duration MARGIN = Duration.ofSeconds(2);

    static final Duration ORDER_TIMEOUT = Duration.ofSeconds(5);

    final FakePlatform platform = new FakePlatform();

    final Map<String, TestNode> nodes = new TreeMap<>();

    final Map<EndpointName, FakeEngine> engines = new TreeMap<>();

    final Map<String, TrainerSettings> trainers = new TreeMap<>();

    MonotonicTime now = MonotonicTime.ZERO.plus(Duration.ofHours(1));

    FencingSupport fencing = FencingSupport.CHECKED;

    double servingFloor = 0.5;

    int concurrentLoads = 2;

    Duration platformDelay = Duration.ZERO;

    /** The duration for which the next node that sends an order is paused immediately before it, if any. */
    Optional<Duration> pauseBeforeOrder = Optional.empty();

    /** Whether orders are sent after the end of their validity, as when a node is paused during the send. */
    boolean sendsLateOrders;

    private final Map<NodeName, Member> members = new HashMap<>();

    private final List<PendingEffect> effects = new ArrayList<>();

    private final List<Answer> answers = new ArrayList<>();

    private long generation;

    int probes;

    int messages;

    TestNode addNode(String name) {
        return addNode(name, 1);
    }

    TestNode addNode(String name, long incarnation) {
        NodeIdentity identity = new NodeIdentity(new NodeName(name), incarnation);
        AvailabilityZone zone = new AvailabilityZone("zone-" + name);
        members.put(
                identity.name(),
                new Member(identity, zone, "local", name + ":1", name + ":2", name + ":3", MemberCondition.ALIVE));
        TestNode node = new TestNode(this, identity, name.hashCode() + incarnation);
        node.lastPlatformContactAt = now;
        nodes.put(name, node);
        if (generation > 0) {
            node.inbox.add(new ConfigurationEvent.Activated(generation, configuration()));
        }
        return node;
    }

    FakeEngine addEngine(String name, Map<String, Long> versions) {
        FakeEngine engine = new FakeEngine(versions);
        engine.checksFencing = fencing == FencingSupport.CHECKED;
        engines.put(new EndpointName(new PoolName(POOL), name), engine);
        return engine;
    }

    void addTrainer(String name, String model, int weight) {
        trainers.put(
                name,
                new TrainerSettings(
                        new PoolName(POOL), model, Optional.empty(), 1, weight, Optional.empty(), true, 64));
    }

    void configure() {
        generation++;
        nodes.values().forEach(node -> node.inbox.add(new ConfigurationEvent.Activated(generation, configuration())));
    }

    void publish(TestNode node, String trainer, long version) {
        node.inbox.add(new WeightEvent.Published(new TrainerName(trainer), version, trainer + "/" + version));
    }

    void kill(TestNode node) {
        nodes.remove(node.identity.name().value());
        Member dead = member(node.identity.name()).withCondition(MemberCondition.DEAD);
        members.put(node.identity.name(), dead);
    }

    void leave(TestNode node) {
        members.put(node.identity.name(), member(node.identity.name()).withCondition(MemberCondition.LEAVING));
    }

    void pause(TestNode node, Duration duration) {
        node.pausedUntil = now.plus(duration);
    }

    void run(Duration duration) {
        run(duration, _site -> {});
    }

    void run(Duration duration, Consumer<TestSite> check) {
        MonotonicTime end = now.plus(duration);
        while (now.isBefore(end)) {
            step();
            check.accept(this);
        }
    }

    Optional<TestNode> holder() {
        return nodes.values().stream()
                .filter(node -> !node.isPaused(now) && node.held(POOL, now).isPresent())
                .findFirst();
    }

    long holders() {
        return nodes.values().stream()
                .filter(node -> node.held(POOL, now).isPresent())
                .count();
    }

    FakeEngine engine(String name) {
        return engines.get(new EndpointName(new PoolName(POOL), name));
    }

    boolean allHold(String model, long version) {
        return engines.values().stream().allMatch(engine -> engine.versions.getOrDefault(model, 0L) == version);
    }

    Member member(NodeName name) {
        return members.get(name);
    }

    List<TestNode> reachableFrom(TestNode node) {
        return nodes.values().stream()
                .filter(other -> other == node || (!other.partitioned && !node.partitioned))
                .toList();
    }

    void step() {
        now = now.plus(stepLength);
        engines.forEach((name, engine) -> engine.finishLoads(now).forEach(ended -> answer(name, ended)));
        for (Answer answer : List.copyOf(answers)) {
            if (!now.isBefore(answer.at())) {
                answers.remove(answer);
                answer.node().inbox.add(answer.event());
            }
        }
        for (TestNode node : nodes.values()) {
            if (!node.isPaused(now)) {
                node.tick(now).effects().forEach(effect -> effects.add(new PendingEffect(node, effect)));
            }
        }
        for (PendingEffect pending : List.copyOf(effects)) {
            if (pending.effect() instanceof WeightEffect.Order && pauseBeforeOrder.isPresent()) {
                pause(pending.node(), pauseBeforeOrder.get());
                pauseBeforeOrder = Optional.empty();
            }
            if (!pending.node().isPaused(now)) {
                effects.remove(pending);
                execute(pending.node(), pending.effect());
            }
        }
    }

    private void answer(EndpointName name, FakeEngine.Ended ended) {
        WeightEffect.Order order = ended.order();
        TestNode node = nodes.get(ended.node());
        if (node != null) {
            node.inbox.add(new WeightEvent.OrderEnded(
                    name, order.fencingNumber(), order.model(), order.version(), ended.result(), "engine"));
        }
    }

    private void execute(TestNode node, Effect effect) {
        if (effect instanceof PlatformEffect call) {
            boolean unreachable = platform.unreachable || node.partitionedFromPlatform;
            PlatformEvent answer =
                    unreachable ? new PlatformEvent.Unavailable(call.token(), true, "silent") : platform.answer(call);
            answers.add(new Answer(node, answer, now.plus(platformDelay)));
            node.lastPlatformContactAt = unreachable ? node.lastPlatformContactAt : now;
        } else if (effect instanceof PeerEffect.Send send) {
            messages++;
            TestNode target = nodes.get(send.target().value());
            if (target != null && reachableFrom(node).contains(target)) {
                target.inbox.add(new PeerEvent.Received(node.identity, send.message()));
            }
        } else if (effect instanceof EndpointEffect.Probe probe) {
            probes++;
            node.inbox.add(report(probe.endpoint()));
        } else if (effect instanceof WeightEffect.Order order) {
            send(node, order);
        }
    }

    private Event report(EndpointName name) {
        FakeEngine engine = engines.get(name);
        if (!engine.reachable) {
            return new EndpointEvent.Unreachable(name, "refused");
        }
        LoadReport load = new LoadReport(now, 0, 0, 1, 0);
        return new EndpointEvent.Reported(
                name, Integer.toString(engine.incarnation), load, Map.copyOf(engine.versions), false);
    }

    private void send(TestNode node, WeightEffect.Order order) {
        if (!now.isBefore(order.validUntil()) && !sendsLateOrders) {
            node.inbox.add(new WeightEvent.OrderEnded(
                    order.endpoint(),
                    order.fencingNumber(),
                    order.model(),
                    order.version(),
                    OrderResult.NOT_SENT,
                    "lease ended"));
            return;
        }
        engines.get(order.endpoint()).beginLoad(order, node.identity.name().value(), now);
    }

    FleetConfiguration configuration() {
        Map<String, EndpointSettings> endpoints = new TreeMap<>();
        engines.keySet()
                .forEach(name -> endpoints.put(
                        name.value(),
                        new EndpointSettings(
                                name.value() + ":1", new AvailabilityZone("zone-" + endpoints.size() % 3), 1)));
        WeightSettings weights =
                new WeightSettings(servingFloor, ORDER_TIMEOUT, Duration.ofSeconds(1), Duration.ofSeconds(1));
        PoolSettings pool = new PoolSettings(PoolKind.ENGINE, endpoints, fencing, false, null, null, null, weights);
        Map<TrainerName, TrainerSettings> named = new TreeMap<>();
        trainers.forEach((name, settings) -> named.put(new TrainerName(name), settings));
        return new FleetConfiguration(
                "site",
                Map.of(),
                Map.of(new PoolName(POOL), pool),
                Map.of(),
                named,
                Optional.of(new WeightStoreSettings("store:1", concurrentLoads)),
                null,
                null,
                new LeaseSettings(LEASE, MARGIN));
    }

    private record PendingEffect(TestNode node, Effect effect) {}

    private record Answer(TestNode node, PlatformEvent event, MonotonicTime at) {}
}
