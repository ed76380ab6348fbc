package io.yuccaswitch.core.site;

import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Effect;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.MemberCondition;
import io.yuccaswitch.core.peer.PeerEffect;
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
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiFunction;
import java.util.function.BiPredicate;
import java.util.function.Consumer;

/** Some cores that share a platform, moved by hand in ticks of ten milliseconds. */
public final class TestSite {

    private static final Duration STEP = Duration.ofMillis(10);

    private final SharedPlatform platform = new SharedPlatform();
    private final Map<String, TestNode> nodes = new LinkedHashMap<>();
    private final Set<String> gone = new TreeSet<>();
    private final Set<String> leaving = new TreeSet<>();
    private final Map<String, Integer> capacities = new LinkedHashMap<>();
    private Consumer<TestSite> everyStep = _site -> {};
    private boolean connected;
    private BiPredicate<String, String> cut = (_from, _to) -> false;
    private BiFunction<String, String, Duration> delay = (_from, _to) -> Duration.ZERO;
    private final List<Underway> underway = new ArrayList<>();
    private MonotonicTime now = new MonotonicTime(Duration.ofSeconds(100).toNanos());

    /** Returns the platform. */
    public SharedPlatform platform() {
        return platform;
    }

    /** Returns the present. */
    public MonotonicTime now() {
        return now;
    }

    /** Returns the nodes that run. */
    Collection<TestNode> nodes() {
        return nodes.values();
    }

    /** Starts a node, or starts it anew under the same name. */
    public TestNode start(String name, BiFunction<TestNode, PlatformTokens, List<DecisionSystem>> systems) {
        TestNode node = new TestNode(this, name, systems);
        gone.remove(name);
        nodes.put(name, node);
        return node;
    }

    /** Kills a node: it runs no more, and the others have noticed. */
    public void kill(String name) {
        nodes.remove(name);
        gone.add(name);
    }

    /** Sets what the processors of a node can do, in hundredths of a core. */
    public void capacity(String name, int hundredths) {
        capacities.put(name, hundredths);
    }

    /** Lets the others believe that a node is gone though it runs. */
    public void believeGone(String name) {
        gone.add(name);
    }

    /** Lets the others believe that a node is about to stop. */
    public void believeLeaving(String name) {
        leaving.add(name);
    }

    /** Carries messages between nodes, except where the path between two names is cut. */
    public void connect(BiPredicate<String, String> cutBetween) {
        connected = true;
        cut = cutBetween;
    }

    /** Delays the messages between two nodes. */
    public void delayMessages(BiFunction<String, String, Duration> between) {
        delay = between;
    }

    /** Does something after each step, such as playing engines. */
    public void everyStep(Consumer<TestSite> action) {
        everyStep = action;
    }

    /** Moves the clock. */
    public void run(Duration time) {
        MonotonicTime end = now.plus(time);
        while (now.isBefore(end)) {
            now = now.plus(STEP);
            underway.removeIf(this::deliverIfDue);
            List.copyOf(nodes.values()).forEach(node -> node.step(now));
            everyStep.accept(this);
        }
    }

    void carry(String from, Effect effect) {
        if (!connected || !(effect instanceof PeerEffect.Send send)) {
            return;
        }
        String target = send.target().value();
        if (!cut.test(from, target)) {
            Underway message = new Underway(
                    target,
                    new PeerEvent.Received(member(from).identity(), send.message()),
                    now.plus(delay.apply(from, target)));
            if (!deliverIfDue(message)) {
                underway.add(message);
            }
        }
    }

    /** Delivers a message if it has arrived. */
    private boolean deliverIfDue(Underway message) {
        if (now.isBefore(message.due())) {
            return false;
        }
        Optional.ofNullable(nodes.get(message.target())).ifPresent(node -> node.accept(message.event()));
        return true;
    }

    /** A message on its way. */
    private record Underway(String target, PeerEvent.Received event, MonotonicTime due) {}

    Member member(String name) {
        return TestNode.member(name).withCapacity(capacities.getOrDefault(name, 0));
    }

    Optional<Member> leaving(NodeName name) {
        boolean listed = leaving.contains(name.value()) && nodes.containsKey(name.value());
        return listed ? Optional.of(member(name.value()).withCondition(MemberCondition.LEAVING)) : Optional.empty();
    }

    Collection<Member> workingAsSeenBy(String name) {
        return nodes.keySet().stream()
                .filter(other -> other.equals(name) || !(gone.contains(other) || leaving.contains(other)))
                .map(this::member)
                .toList();
    }
}
