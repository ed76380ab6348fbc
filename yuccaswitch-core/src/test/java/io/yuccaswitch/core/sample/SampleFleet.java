package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.configuration.ConfigurationEvent;
import io.yuccaswitch.core.configuration.FleetConfiguration;
import io.yuccaswitch.core.decision.DecisionCore;
import io.yuccaswitch.core.decision.Effect;
import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.decision.TickResult;
import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.identity.TrainerName;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.MemberCondition;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformTokens;
import io.yuccaswitch.core.request.Outcome;
import io.yuccaswitch.core.request.Request;
import io.yuccaswitch.core.request.RequestClock;
import io.yuccaswitch.core.request.RequestEvent;
import io.yuccaswitch.core.request.RequestId;
import io.yuccaswitch.core.time.MonotonicTime;
import io.yuccaswitch.core.weight.WeightEvent;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

/**
 * Runs several cores together: delivers their messages, advances their clock, and provides stand-ins for the engines
 * and the platform.
 */
final class SampleFleet {

    static final Duration TICK_INTERVAL = Duration.ofMillis(10);
    static final Duration FAILURE_DETECTION_DELAY = Duration.ofSeconds(1);

    final FakePlatform platform = new FakePlatform();
    final Map<Long, SampleEffect.AnswerSubmission> submissions = new HashMap<>();
    final Map<Long, PullResult> pulls = new HashMap<>();
    final Map<NodeName, Node> nodes = new TreeMap<>();
    final Set<String> partitioned = new HashSet<>();
    Predicate<Message> lossCondition = _message -> false;
    EngineModel engines = new EngineModel.Simple();
    FleetConfiguration configuration;
    SchedulePolicy policy = SchedulePolicy.Layered.ALL;
    MonotonicTime now = MonotonicTime.ZERO;

    private final List<Message> messagesInTransit = new ArrayList<>();
    private final Map<NodeName, Member> members = new TreeMap<>();
    private final Map<TrainerName, Long> published = new HashMap<>();
    private final PlatformTokens platformTokens = new PlatformTokens();
    private long tokens;

    SampleFleet(FleetConfiguration configuration) {
        this.configuration = configuration;
    }

    record Message(NodeIdentity sender, NodeName target, SampleMessage content) {}

    void start(String name, String zone) {
        NodeName key = new NodeName(name);
        long incarnation = Optional.ofNullable(members.get(key))
                        .map(member -> member.identity().incarnation())
                        .orElse(0L)
                + 1;
        NodeIdentity identity = new NodeIdentity(key, incarnation);
        members.put(
                key,
                new Member(identity, new AvailabilityZone(zone), "local", name, name, name, MemberCondition.ALIVE));
        Node node = new Node(identity);
        nodes.put(key, node);
        node.inbox.add(new ConfigurationEvent.Activated(1, configuration));
        published.forEach((trainer, version) -> node.inbox.add(new WeightEvent.Published(trainer, version, "")));
    }

    /** Ends a process immediately. The other processes detect it after {@link #FAILURE_DETECTION_DELAY}. */
    void kill(String name) {
        NodeName key = new NodeName(name);
        nodes.remove(key);
        messagesInTransit.removeIf(message -> message.target().equals(key));
        Member member = members.get(key);
        MonotonicTime detected = now.plus(FAILURE_DETECTION_DELAY);
        scheduledActions.add(new ScheduledAction(
                detected,
                () -> members.computeIfPresent(
                        key,
                        (_key, current) -> current.identity().equals(member.identity())
                                ? current.withCondition(MemberCondition.DEAD)
                                : current)));
    }

    void restart(String name) {
        String zone = members.get(new NodeName(name)).availabilityZone().value();
        nodes.remove(new NodeName(name));
        start(name, zone);
    }

    void setCondition(String name, MemberCondition condition) {
        members.computeIfPresent(new NodeName(name), (_name, member) -> member.withCondition(condition));
    }

    void publish(TrainerName trainer, long version) {
        published.put(trainer, version);
        nodes.values().forEach(node -> node.inbox.add(new WeightEvent.Published(trainer, version, "")));
    }

    void reconfigure(FleetConfiguration changed) {
        configuration = changed;
        nodes.values().forEach(node -> node.inbox.add(new ConfigurationEvent.Activated(2, changed)));
    }

    long submit(String node, List<GroupSpecification> groups) {
        long token = ++tokens;
        TrainerName trainer = groups.get(0).key().trainer();
        nodes.get(new NodeName(node)).inbox.add(new SampleEvent.Submitted(token, trainer, groups));
        return token;
    }

    long pull(String node, TrainerName trainer, Optional<String> cursor, long useVersion, int maximum, Duration wait) {
        return pull(node, trainer, cursor, useVersion, OptionalLong.empty(), maximum, wait);
    }

    long pull(
            String node,
            TrainerName trainer,
            Optional<String> cursor,
            long useVersion,
            OptionalLong step,
            int maximum,
            Duration wait) {
        long token = ++tokens;
        nodes.get(new NodeName(node))
                .inbox
                .add(new SampleEvent.PullRequested(token, trainer, cursor, useVersion, step, maximum, wait));
        return token;
    }

    Node node(String name) {
        return nodes.get(new NodeName(name));
    }

    /** Returns the keepers of a trainer among the members that take work, the primary first. */
    List<String> keepers(TrainerName trainer) {
        return names(io.yuccaswitch.core.membership.RendezvousRanking.pair("keeper/" + trainer, working()));
    }

    List<String> holders(GroupKey key) {
        return names(io.yuccaswitch.core.membership.RendezvousRanking.pair("group/" + key, working()));
    }

    void step() {
        now = now.plus(TICK_INTERVAL);
        List<ScheduledAction> due = scheduledActions.stream()
                .filter(entry -> !now.isBefore(entry.at()))
                .toList();
        scheduledActions.removeAll(due);
        due.forEach(entry -> entry.action().run());
        deliver();
        platform.answers(now)
                .forEach(answer -> Optional.ofNullable(nodes.get(answer.node().name()))
                        .filter(node -> node.identity.equals(answer.node()))
                        .ifPresent(node -> node.inbox.add(answer.event())));
        for (Node node : List.copyOf(nodes.values())) {
            node.tick();
        }
    }

    void run(Duration duration) {
        MonotonicTime end = now.plus(duration);
        while (now.isBefore(end)) {
            step();
        }
    }

    boolean runUntil(BooleanSupplier condition, Duration limit) {
        MonotonicTime end = now.plus(limit);
        while (!condition.getAsBoolean()) {
            if (!now.isBefore(end)) {
                return false;
            }
            step();
        }
        return true;
    }

    private final List<ScheduledAction> scheduledActions = new ArrayList<>();

    private record ScheduledAction(MonotonicTime at, Runnable action) {}

    private List<Member> working() {
        return members.values().stream().filter(Member::acceptsWork).toList();
    }

    private static List<String> names(List<Member> pair) {
        return pair.stream().map(member -> member.identity().name().value()).toList();
    }

    private void deliver() {
        List<Message> messages = List.copyOf(messagesInTransit);
        messagesInTransit.clear();
        for (Message message : messages) {
            Node node = nodes.get(message.target());
            if (node == null || lossCondition.test(message) || isPartitioned(message)) {
                continue;
            }
            node.inbox.add(new PeerEvent.Received(message.sender(), message.content()));
        }
    }

    private boolean isPartitioned(Message message) {
        return partitioned.contains(message.sender().name().value())
                != partitioned.contains(message.target().value());
    }

    /** A process with its core, its view of the members and its request path. */
    final class Node implements MembershipView {

        final NodeIdentity identity;
        final List<Event> inbox = new ArrayList<>();
        final SampleSystem system;
        private final DecisionCore core;
        private final Map<RequestId, Request> requests = new LinkedHashMap<>();
        long ticks;
        long tickNanos;

        private Node(NodeIdentity identity) {
            this.identity = identity;
            system = new SampleSystem(this, platformTokens, new RequestClock(MonotonicTime.ZERO, 0), policy);
            core = new DecisionCore(List.of(system.beforeRequests(), this::requestPath, system.afterRequests()), 1);
        }

        @Override
        public Member self() {
            return members.get(identity.name());
        }

        @Override
        public Collection<Member> working() {
            boolean isolated = partitioned.contains(identity.name().value());
            return SampleFleet.this.working().stream()
                    .filter(member ->
                            partitioned.contains(member.identity().name().value()) == isolated)
                    .toList();
        }

        @Override
        public Optional<Member> find(NodeName name) {
            boolean isolated = partitioned.contains(identity.name().value());
            return Optional.ofNullable(members.get(name))
                    .map(member -> partitioned.contains(name.value()) == isolated
                            ? member
                            : member.withCondition(MemberCondition.DEAD));
        }

        /** Returns whether this process holds a group as its driver or backup. */
        boolean holds(GroupKey key) {
            return system.holds(key);
        }

        private void requestPath(Tick tick) {
            for (RequestEvent.Arrived event : tick.events(RequestEvent.Arrived.class)) {
                requests.put(event.id(), event.request());
                engines.start(identity, event.request(), now);
            }
            for (RequestEvent.Cancelled event : tick.events(RequestEvent.Cancelled.class)) {
                requests.remove(event.id());
                engines.cancel(event.id());
            }
            for (RequestId id : List.copyOf(requests.keySet())) {
                Optional<Outcome> outcome = engines.poll(id, now);
                if (outcome.isPresent()) {
                    requests.remove(id);
                    tick.raise(new RequestEvent.Concluded(id, outcome.get()));
                }
            }
        }

        private void tick() {
            List<Event> events = List.copyOf(inbox);
            inbox.clear();
            long startNanos = System.nanoTime();
            TickResult result = core.tick(now, events);
            tickNanos += System.nanoTime() - startNanos;
            ticks++;
            result.effects().forEach(this::execute);
        }

        private void execute(Effect effect) {
            if (effect instanceof PeerEffect.Send send) {
                messagesInTransit.add(new Message(identity, send.target(), (SampleMessage) send.message()));
            } else if (effect instanceof PlatformEffect call) {
                platform.call(identity, call, now);
            } else if (effect instanceof SampleEffect.AnswerSubmission answer) {
                submissions.put(answer.token(), answer);
            } else if (effect instanceof SampleEffect.AnswerPull answer) {
                pulls.put(answer.token(), answer.result());
            }
        }
    }
}
