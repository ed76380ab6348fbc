package io.yuccaswitch.core.site;

import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Effect;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.MemberCondition;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.peer.PeerMessage;
import io.yuccaswitch.core.platform.PlatformTokens;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiFunction;
import java.util.function.BiPredicate;
import java.util.function.Consumer;

/** Several cores that share a platform, on a simulated clock that advances in steps of ten milliseconds. */
public final class TestSite {

    private static final Duration STEP_INTERVAL = Duration.ofMillis(10);

    private final SharedPlatform platform = new SharedPlatform();
    private final Map<String, TestNode> nodes = new LinkedHashMap<>();
    private final Set<String> consideredDead = new TreeSet<>();
    private final Set<String> leaving = new TreeSet<>();
    private final Map<String, Integer> capacities = new LinkedHashMap<>();
    private Consumer<TestSite> everyStep = _site -> {};
    private boolean connected;
    private BiPredicate<String, String> disconnected = (_from, _to) -> false;
    private BiPredicate<String, PeerMessage> lost = (_to, _message) -> false;
    private BiFunction<String, String, Duration> delay = (_from, _to) -> Duration.ZERO;
    private final List<MessageInTransit> messagesInTransit = new ArrayList<>();
    private MonotonicTime now = new MonotonicTime(Duration.ofSeconds(100).toNanos());

    /** Returns the platform. */
    public SharedPlatform platform() {
        return platform;
    }

    /** Returns the current time. */
    public MonotonicTime now() {
        return now;
    }

    /** Returns the running nodes. */
    Collection<TestNode> nodes() {
        return nodes.values();
    }

    /** Starts a node, or restarts it under the same name. */
    public TestNode start(String name, BiFunction<TestNode, PlatformTokens, List<DecisionSystem>> systems) {
        TestNode node = new TestNode(this, name, systems);
        consideredDead.remove(name);
        nodes.put(name, node);
        return node;
    }

    /** Kills a node: it stops running, and the others consider it dead. */
    public void kill(String name) {
        nodes.remove(name);
        consideredDead.add(name);
    }

    /** Sets the processor capacity of a node, in hundredths of a core. */
    public void capacity(String name, int hundredths) {
        capacities.put(name, hundredths);
    }

    /** Makes the others consider a node dead although it is running. */
    public void markGone(String name) {
        consideredDead.add(name);
    }

    /** Makes the others consider a node as working again that they considered dead. */
    public void markBack(String name) {
        consideredDead.remove(name);
    }

    /** Makes the others consider a node as leaving. */
    public void markLeaving(String name) {
        leaving.add(name);
    }

    /** Delivers messages between nodes, except between names that the predicate disconnects. */
    public void connect(BiPredicate<String, String> disconnects) {
        connected = true;
        disconnected = disconnects;
    }

    /** Loses the messages to a node that match. */
    public void loseMessages(BiPredicate<String, PeerMessage> condition) {
        lost = condition;
    }

    /** Delays the messages between two nodes. */
    public void delayMessages(BiFunction<String, String, Duration> between) {
        delay = between;
    }

    /** Sets an action that runs after each step, such as simulating engines. */
    public void everyStep(Consumer<TestSite> action) {
        everyStep = action;
    }

    /** Advances the clock. */
    public void run(Duration time) {
        MonotonicTime end = now.plus(time);
        while (now.isBefore(end)) {
            now = now.plus(STEP_INTERVAL);
            messagesInTransit.removeIf(this::deliverIfDue);
            List.copyOf(nodes.values()).forEach(node -> node.step(now));
            everyStep.accept(this);
        }
    }

    void transmit(String from, Effect effect) {
        if (!connected || !(effect instanceof PeerEffect.Send send)) {
            return;
        }
        String target = send.target().value();
        if (!disconnected.test(from, target) && !lost.test(target, send.message())) {
            MessageInTransit message = new MessageInTransit(
                    target,
                    new PeerEvent.Received(member(from).identity(), send.message()),
                    now.plus(delay.apply(from, target)));
            if (!deliverIfDue(message)) {
                messagesInTransit.add(message);
            }
        }
    }

    /** Delivers a message if it has arrived. */
    private boolean deliverIfDue(MessageInTransit message) {
        if (now.isBefore(message.due())) {
            return false;
        }
        Optional.ofNullable(nodes.get(message.target())).ifPresent(node -> node.accept(message.event()));
        return true;
    }

    /** A message in transit. */
    private record MessageInTransit(String target, PeerEvent.Received event, MonotonicTime due) {}

    Member member(String name) {
        return TestNode.member(name).withCapacity(capacities.getOrDefault(name, 0));
    }

    Optional<Member> leaving(NodeName name) {
        boolean listed = leaving.contains(name.value()) && nodes.containsKey(name.value());
        return listed ? Optional.of(member(name.value()).withCondition(MemberCondition.LEAVING)) : Optional.empty();
    }

    Collection<Member> workingAsSeenBy(String name) {
        return nodes.keySet().stream()
                .filter(other -> other.equals(name) || !(consideredDead.contains(other) || leaving.contains(other)))
                .map(this::member)
                .toList();
    }
}
