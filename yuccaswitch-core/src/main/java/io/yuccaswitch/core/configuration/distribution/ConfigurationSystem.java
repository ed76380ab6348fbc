package io.yuccaswitch.core.configuration.distribution;

import io.yuccaswitch.core.configuration.ConfigurationEffect;
import io.yuccaswitch.core.configuration.ConfigurationEvent;
import io.yuccaswitch.core.configuration.ConfigurationMessage;
import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.membership.MembershipEvent;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.platform.PlatformTokens;
import io.yuccaswitch.core.time.MonotonicTime;
import io.yuccaswitch.core.value.Bytes;
import java.time.Duration;
import java.util.Optional;

/**
 * Activates generations of the configuration on this node, and forwards them to others. A generation is activated only
 * if it is higher than the active one, whether it comes from the platform, another node or the disk. This system runs
 * after the membership and before all systems that handle {@link ConfigurationEvent.Activated}.
 */
public final class ConfigurationSystem implements DecisionSystem {

    /** The kind of the decisions that this system makes. */
    private static final String DECISION_KIND = "configuration";

    /** The time after which an unanswered pull may be repeated at another node. */
    private static final Duration PULL_TIMEOUT = Duration.ofSeconds(1);

    /** The state of the configuration. */
    private final ConfigurationState state;

    /** Supplies envelopes from the platform. */
    private final ConfigurationWatchSystem watch;

    /** Determines whether this node may serve. */
    private final ReadinessSystem readiness;

    /** Announces a new generation to other nodes. */
    private final Announcer announcer;

    /** The generation of the latest pull, or zero. */
    private long pulledGeneration;

    /** The time of the latest pull. */
    private MonotonicTime pulledAt = MonotonicTime.ZERO;

    /** The message with the last compressed envelope, or empty if there is none. */
    private Optional<ConfigurationMessage.Content> content = Optional.empty();

    /**
     * Creates a new system.
     *
     * @param state The state of the configuration, which other systems read.
     * @param members The members.
     * @param tokens Allocates the tokens of calls to the platform.
     */
    public ConfigurationSystem(ConfigurationState state, MembershipView members, PlatformTokens tokens) {
        this.state = state;
        watch = new ConfigurationWatchSystem(state, members, tokens);
        readiness = new ReadinessSystem(state, members, watch);
        announcer = new Announcer(members);
    }

    /** {@inheritDoc} */
    @Override
    public void run(Tick tick) {
        watch.run(tick);
        for (ConfigurationEvent.SnapshotFound event : tick.events(ConfigurationEvent.SnapshotFound.class)) {
            state.decode(tick, event.envelope());
        }
        for (PeerEvent.Received event : tick.events(PeerEvent.Received.class)) {
            if (event.message() instanceof ConfigurationMessage message) {
                receive(tick, event.sender(), message);
            }
        }
        for (MembershipEvent.PeerReported event : tick.events(MembershipEvent.PeerReported.class)) {
            pullIfHigher(tick, event.sender().name(), event.generation());
        }
        for (ConfigurationEvent.Decoded event : tick.events(ConfigurationEvent.Decoded.class)) {
            applyDecoded(tick, event);
        }
        for (ConfigurationEvent.Rejected event : tick.events(ConfigurationEvent.Rejected.class)) {
            reject(tick, event);
        }
        readiness.run(tick);
    }

    /**
     * Handles a message from another node.
     *
     * @param tick The tick.
     * @param sender The sender.
     * @param message The message.
     */
    private void receive(Tick tick, NodeIdentity sender, ConfigurationMessage message) {
        if (message instanceof ConfigurationMessage.Announcement announcement) {
            pullIfHigher(tick, sender.name(), announcement.generation());
        } else if (message instanceof ConfigurationMessage.Pull pull) {
            if (state.heldGeneration() > pull.generation()) {
                tick.emit(new PeerEffect.Send(sender.name(), content()));
            }
        } else if (message instanceof ConfigurationMessage.Content received
                && received.generation() > state.heldGeneration()) {
            Optional<Bytes> envelope = Compression.expand(received.compressedEnvelope());
            envelope.ifPresent(bytes -> state.decode(tick, bytes));
        }
    }

    /**
     * Pulls a generation from a node if it is higher than the held one and the one for which a pull is pending.
     *
     * @param tick The tick.
     * @param holder The node that holds the generation.
     * @param generation The generation.
     */
    private void pullIfHigher(Tick tick, NodeName holder, long generation) {
        boolean pullPending =
                generation <= pulledGeneration && tick.now().since(pulledAt).compareTo(PULL_TIMEOUT) < 0;
        if (generation <= state.heldGeneration() || pullPending) {
            return;
        }
        pulledGeneration = generation;
        pulledAt = tick.now();
        tick.emit(new PeerEffect.Send(holder, new ConfigurationMessage.Pull(state.heldGeneration())));
    }

    /**
     * Applies a decoded generation if it is higher than the held or the active one.
     *
     * @param tick The tick.
     * @param event The decoded generation.
     */
    private void applyDecoded(Tick tick, ConfigurationEvent.Decoded event) {
        state.decoded();
        if (state.hold(event.generation(), event.envelope())) {
            announcer.announce(tick, event.generation());
        }
        if (!state.activate(tick.now(), event.generation(), event.configuration())) {
            return;
        }
        tick.raise(new ConfigurationEvent.Activated(event.generation(), event.configuration()));
        tick.emit(new ConfigurationEffect.Persist(event.generation(), event.envelope()));
        tick.decide(Decision.of(
                DECISION_KIND, Long.toString(event.generation()), "in-force", "higher than the previous generation"));
    }

    /**
     * Handles a generation that this node cannot decode. If the envelope is well-formed, it is forwarded nevertheless,
     * since other nodes may run a newer release.
     *
     * @param tick The tick.
     * @param event The rejection.
     */
    private void reject(Tick tick, ConfigurationEvent.Rejected event) {
        state.decoded();
        tick.decide(Decision.of(DECISION_KIND, event.generation().toString(), Decision.NO_CHOICE, event.reason()));
        if (event.generation().isPresent() && state.hold(event.generation().getAsLong(), event.envelope())) {
            announcer.announce(tick, event.generation().getAsLong());
        }
    }

    /**
     * Returns the message that transfers the held generation.
     *
     * @return The message.
     */
    private ConfigurationMessage.Content content() {
        if (content.isEmpty() || content.get().generation() != state.heldGeneration()) {
            content = Optional.of(new ConfigurationMessage.Content(
                    state.heldGeneration(), Compression.compress(state.heldEnvelope())));
        }
        return content.get();
    }
}
