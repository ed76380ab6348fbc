package io.yuccaswitch.core.driver;

import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.membership.MembershipOptions;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.peer.PeerMessage;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.BiPredicate;
import java.util.function.BooleanSupplier;

/** Runs several cores on a simulated clock, and delivers their messages with the faults that a test configures. */
public final class CoreDriver {

    private static final long STEP_MILLIS = 10;

    private final Random random;
    private final Map<String, DrivenNode> nodes = new TreeMap<>();
    private final PriorityQueue<Delivery> deliveries =
            new PriorityQueue<>(Comparator.comparingLong(Delivery::atMillis).thenComparingLong(Delivery::sequence));
    private final DrivenPlatform platform = new DrivenPlatform(this);
    private MembershipOptions options = MembershipOptions.DEFAULT;
    private long nowMillis;
    private long sequence;
    private double loss;
    private double duplication;
    private long maximumDelayMillis = 5;
    private BiPredicate<DrivenNode, DrivenNode> partition = (_from, _to) -> false;
    private BiConsumer<DrivenNode, PeerMessage> observer = (_from, _message) -> {};

    public CoreDriver(long seed) {
        random = new Random(seed);
    }

    public DrivenNode start(String name, String zone, long incarnation, List<String> seeds) {
        DrivenNode node = new DrivenNode(this, name, zone, incarnation, seeds, random.nextLong());
        nodes.put(node.address(), node);
        return node;
    }

    /**
     * Starts nodes that are distributed evenly over zones, with the first node as the seed of all others.
     * {@link DrivenNode} derives the region of a node from its zone.
     */
    public List<DrivenNode> startFleet(int count, int zones) {
        List<DrivenNode> started = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            List<String> seeds = i == 0 ? List.of() : List.of(DrivenNode.address("vm-0"));
            started.add(start("vm-" + i, "zone-" + i % zones, 1000, seeds));
        }
        return started;
    }

    public void kill(DrivenNode node) {
        nodes.remove(node.address(), node);
    }

    public void run(Duration time) {
        runUntil(() -> false, time);
    }

    /**
     * Runs until a condition holds, and returns the elapsed time, or the limit if the condition did not hold within it.
     */
    public Duration runUntil(BooleanSupplier condition, Duration limit) {
        long start = nowMillis;
        while (nowMillis - start < limit.toMillis() && !condition.getAsBoolean()) {
            nowMillis += STEP_MILLIS;
            platform.step();
            while (!deliveries.isEmpty() && deliveries.peek().atMillis() <= nowMillis) {
                deliveries.poll().action().run();
            }
            for (DrivenNode node : List.copyOf(nodes.values())) {
                node.step();
            }
        }
        return Duration.ofMillis(nowMillis - start);
    }

    public DrivenPlatform platform() {
        return platform;
    }

    public Collection<DrivenNode> nodes() {
        return nodes.values();
    }

    public void loss(double probability) {
        loss = probability;
    }

    public void duplication(double probability) {
        duplication = probability;
    }

    public void maximumDelay(Duration delay) {
        maximumDelayMillis = delay.toMillis();
    }

    public void partition(BiPredicate<DrivenNode, DrivenNode> separates) {
        partition = (from, to) -> separates.test(from, to) || separates.test(to, from);
    }

    public void partitionZone(String zone) {
        partition((from, to) -> from.zone().equals(zone) && !to.zone().equals(zone));
    }

    public void heal() {
        partition = (_from, _to) -> false;
    }

    public void observe(BiConsumer<DrivenNode, PeerMessage> messages) {
        observer = messages;
    }

    public void options(MembershipOptions changed) {
        options = changed;
    }

    MembershipOptions options() {
        return options;
    }

    long nowMillis() {
        return nowMillis;
    }

    void schedule(long delayMillis, Runnable action) {
        deliveries.add(new Delivery(nowMillis + delayMillis, sequence++, action));
    }

    void send(DrivenNode from, PeerEffect.Send send) {
        Optional<String> address = from.addressOf(send.target());
        if (address.isEmpty()) {
            from.accept(new PeerEvent.Undeliverable(send.target(), send.message()));
            return;
        }
        transmit(from, address.get(), Optional.of(send.target()), send.message());
    }

    void sendToAddress(DrivenNode from, PeerEffect.SendToAddress send) {
        transmit(from, send.address(), Optional.empty(), send.message());
    }

    private void transmit(DrivenNode from, String address, Optional<NodeName> target, PeerMessage message) {
        observer.accept(from, message);
        int copies = random.nextDouble() < duplication ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (random.nextDouble() >= loss) {
                schedule(1 + random.nextInt((int) maximumDelayMillis), () -> deliver(from, address, target, message));
            }
        }
    }

    private void deliver(DrivenNode from, String address, Optional<NodeName> target, PeerMessage message) {
        DrivenNode to = nodes.get(address);
        if (to != null && partition.test(from, to)) {
            return;
        }
        if (to == null || target.filter(name -> !name.equals(to.name())).isPresent()) {
            target.ifPresent(name -> from.accept(new PeerEvent.Undeliverable(name, message)));
            return;
        }
        to.accept(new PeerEvent.Received(from.identity(), message));
    }

    private record Delivery(long atMillis, long sequence, Runnable action) {}

    /** A receiver of events. */
    interface Inbox {
        void accept(Event event);
    }
}
