package io.yuccaswitch.core.driver;

import io.yuccaswitch.core.configuration.ConfigurationEffect;
import io.yuccaswitch.core.configuration.ConfigurationEvent;
import io.yuccaswitch.core.configuration.distribution.ConfigurationState;
import io.yuccaswitch.core.configuration.distribution.ConfigurationSystem;
import io.yuccaswitch.core.decision.DecisionCore;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Effect;
import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.MemberCondition;
import io.yuccaswitch.core.membership.MembershipEffect;
import io.yuccaswitch.core.membership.MembershipEvent;
import io.yuccaswitch.core.membership.MembershipSystem;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformTokens;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A node of a {@link CoreDriver}: a core with membership and configuration, and a replacement of the shell that
 * executes its effects.
 */
public final class DrivenNode implements CoreDriver.Inbox {

    private static final long TICK_INTERVAL_MILLIS = 20;

    private final CoreDriver driver;
    private final MembershipSystem membership;
    private final ConfigurationState configuration = new ConfigurationState();
    private final DecisionCore core;
    private final Duration clockOffset;
    private final Map<NodeName, String> addresses = new HashMap<>();
    private final List<Long> generations = new ArrayList<>();
    private final List<MembershipEvent> events = new ArrayList<>();
    private List<Event> inbox = new ArrayList<>();
    private NodeIdentity identity;
    private Optional<String> storedEnvelope = Optional.empty();
    private long lastTickMillis;
    private boolean paused;
    private long cpuNanos;
    private long ticks;

    DrivenNode(CoreDriver driver, String name, String zone, long incarnation, List<String> seeds, long seed) {
        this.driver = driver;
        identity = new NodeIdentity(new NodeName(name), incarnation);
        Member self = new Member(
                identity,
                new AvailabilityZone(zone),
                "region-" + Math.floorMod(zone.hashCode(), 2),
                address(name),
                name + ":entry",
                name + ":operator",
                MemberCondition.ALIVE);
        PlatformTokens tokens = new PlatformTokens();
        membership = new MembershipSystem(self, seeds, configuration, tokens, driver.options());
        ConfigurationSystem distribution = new ConfigurationSystem(configuration, membership, tokens);
        core = new DecisionCore(List.of(membership, distribution, (DecisionSystem) this::record), seed);
        clockOffset = Duration.ofMillis(Math.floorMod(seed, 1_000_000_000L));
    }

    public static String address(String name) {
        return name + ":peer";
    }

    @Override
    public void accept(Event event) {
        inbox.add(event);
    }

    public void pause() {
        paused = true;
    }

    public void resume() {
        paused = false;
    }

    public NodeName name() {
        return identity.name();
    }

    public NodeIdentity identity() {
        return identity;
    }

    public String zone() {
        return membership.self().availabilityZone().value();
    }

    public MembershipSystem membership() {
        return membership;
    }

    public ConfigurationState configuration() {
        return configuration;
    }

    /** Returns the generations that were activated, in order. */
    public List<Long> generations() {
        return generations;
    }

    public List<MembershipEvent> events() {
        return events;
    }

    /** Returns the envelope that the shell would have stored on disk. */
    public Optional<String> storedEnvelope() {
        return storedEnvelope;
    }

    public MemberCondition conditionOf(DrivenNode other) {
        return membership.find(other.name()).map(Member::condition).orElse(MemberCondition.DEAD);
    }

    public Optional<Duration> platformSilence() {
        return membership.platformReachability().unreachableFor(time());
    }

    public double cpuMicrosPerTick() {
        return cpuNanos / 1000.0 / ticks;
    }

    public void resetCpu() {
        cpuNanos = 0;
        ticks = 0;
    }

    public long cpuNanos() {
        return cpuNanos;
    }

    String address() {
        return address(identity.name().value());
    }

    Optional<String> addressOf(NodeName name) {
        return Optional.ofNullable(addresses.get(name));
    }

    void step() {
        long now = driver.nowMillis();
        if (paused || (inbox.isEmpty() && now - lastTickMillis < TICK_INTERVAL_MILLIS)) {
            return;
        }
        lastTickMillis = now;
        List<Event> received = inbox;
        inbox = new ArrayList<>();
        MonotonicTime time = time();
        long startedNanos = System.nanoTime();
        List<Effect> effects = core.tick(time, received).effects();
        cpuNanos += System.nanoTime() - startedNanos;
        ticks++;
        effects.forEach(this::execute);
    }

    private MonotonicTime time() {
        return MonotonicTime.ZERO.plus(clockOffset).plus(Duration.ofMillis(driver.nowMillis()));
    }

    private void execute(Effect effect) {
        if (effect instanceof PeerEffect.Send send) {
            driver.send(this, send);
        } else if (effect instanceof PeerEffect.SendToAddress send) {
            driver.sendToAddress(this, send);
        } else if (effect instanceof PlatformEffect call) {
            driver.platform().call(this, call);
        } else if (effect instanceof MembershipEffect.RegisterAddress learned) {
            addresses.put(learned.node(), learned.peerAddress());
        } else if (effect instanceof MembershipEffect.RemoveAddress forgotten) {
            addresses.remove(forgotten.node());
        } else if (effect instanceof MembershipEffect.Identify identified) {
            identity = identified.identity();
        } else if (effect instanceof ConfigurationEffect.Decode decode) {
            driver.schedule(1, () -> accept(Envelopes.decode(decode.envelope())));
        } else if (effect instanceof ConfigurationEffect.Persist keep) {
            storedEnvelope = Optional.of(keep.envelope().toUtf8());
        }
    }

    private void record(Tick tick) {
        events.addAll(tick.events(MembershipEvent.class).stream()
                .filter(event -> !(event instanceof MembershipEvent.PeerReported))
                .toList());
        tick.events(ConfigurationEvent.Activated.class).forEach(event -> generations.add(event.generation()));
    }
}
