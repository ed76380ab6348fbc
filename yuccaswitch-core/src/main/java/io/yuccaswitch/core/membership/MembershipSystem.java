package io.yuccaswitch.core.membership;

import io.yuccaswitch.core.configuration.ConfigurationView;
import io.yuccaswitch.core.configuration.MembershipSettings;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.platform.PlatformReachability;
import io.yuccaswitch.core.platform.PlatformTokens;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

/**
 * Tracks the other nodes by direct exchanges, without any heartbeat to the platform. It runs before all systems that
 * read {@link MembershipView} or process events of the membership.
 */
public final class MembershipSystem implements DecisionSystem, MembershipView {

    /** The settings until a configuration is active. */
    private static final MembershipSettings INITIAL_SETTINGS =
            new MembershipSettings(Duration.ofMillis(250), Duration.ofSeconds(3), Duration.ofSeconds(10));

    /** The state of the membership. */
    private final MembershipState state;

    /** Finds the first partners. */
    private final ContactSystem contacts;

    /** The parts of this system, in the order in which they run. */
    private final List<DecisionSystem> parts;

    /**
     * Creates a system whose table contains only this node.
     *
     * @param self This node.
     * @param seeds The peer addresses of nodes to contact first.
     * @param configuration The configuration of this node.
     * @param tokens Allocates the tokens of calls to the platform.
     * @param options The timing and limits of the protocol.
     */
    public MembershipSystem(
            Member self,
            List<String> seeds,
            ConfigurationView configuration,
            PlatformTokens tokens,
            MembershipOptions options) {
        this(self, seeds, configuration, tokens, options, INITIAL_SETTINGS);
    }

    /**
     * Creates a system whose table contains only this node and that uses the given settings until a configuration is
     * active.
     *
     * @param self This node.
     * @param seeds The peer addresses of nodes to contact first.
     * @param configuration The configuration of this node.
     * @param tokens Allocates the tokens of calls to the platform.
     * @param options The timing and limits of the protocol.
     * @param initialSettings The settings until a configuration is active.
     */
    public MembershipSystem(
            Member self,
            List<String> seeds,
            ConfigurationView configuration,
            PlatformTokens tokens,
            MembershipOptions options,
            MembershipSettings initialSettings) {
        state = MembershipState.of(self, configuration, options, initialSettings);
        ExchangeContent content = new ExchangeContent(state);
        PartnerRotation rotation = new PartnerRotation(state.table());
        ProbeSystem probes = new ProbeSystem(state, content, rotation);
        contacts = new ContactSystem(state, content, seeds);
        parts = List.of(
                new SelfSystem(state),
                new ExchangeSystem(state, content, rotation, probes),
                probes,
                new SuspicionSystem(state),
                contacts,
                new MemberObjectSystem(state, tokens),
                new PlatformListSystem(state, contacts, tokens),
                new AbandonedObjectSystem(state, tokens));
    }

    /** {@inheritDoc} */
    @Override
    public void run(Tick tick) {
        state.platform().observe(tick);
        parts.forEach(part -> part.run(tick));
        state.merge().reportNewMembers(tick);
        tick.events(MembershipEvent.Forgotten.class)
                .forEach(event -> state.reports().remove(event.identity().name()));
    }

    /** {@inheritDoc} */
    @Override
    public Member self() {
        return state.table().self();
    }

    /** {@inheritDoc} */
    @Override
    public Collection<Member> working() {
        return state.table().working();
    }

    /** {@inheritDoc} */
    @Override
    public Optional<Member> find(NodeName name) {
        return state.table().find(name);
    }

    /**
     * Returns all members, dead ones included.
     *
     * @return All members.
     */
    public List<Member> members() {
        return state.table().rows().stream().map(MemberRow::member).toList();
    }

    /**
     * Returns the latest report of another node about itself.
     *
     * @param name The node's name.
     * @return The report, or empty if none was received yet.
     */
    public Optional<PeerReport> report(NodeName name) {
        return state.reports().find(name);
    }

    /**
     * Returns how long the platform has been unreachable for the nodes of the site.
     *
     * @return The state of the platform's reachability.
     */
    public PlatformReachability platformReachability() {
        return state.platform();
    }

    /**
     * Returns whether this node was paused and has not received an answer from another one since.
     *
     * @return {@code true} if this node's view may be stale.
     */
    public boolean isUncertain() {
        return state.health().isUncertain();
    }

    /**
     * Returns whether this node has received the table of another one, or has determined that it is alone.
     *
     * @return {@code true} if this node has joined.
     */
    public boolean hasJoined() {
        return contacts.hasJoined();
    }

    /**
     * Returns the counts since the process started.
     *
     * @return The counts.
     */
    public MembershipStatistics statistics() {
        return state.counters().snapshot();
    }
}
