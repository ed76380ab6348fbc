package io.yuccaswitch.core.membership;

import io.yuccaswitch.core.configuration.ConfigurationView;
import io.yuccaswitch.core.configuration.MembershipSettings;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.platform.PlatformNews;
import io.yuccaswitch.core.platform.PlatformTokens;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

/**
 * Keeps track of the other nodes by direct exchange, without any heartbeat to the platform. It runs before all systems
 * that look at {@link MembershipView} or at events of the membership.
 */
public final class MembershipSystem implements DecisionSystem, MembershipView {

    /** The settings until a configuration is in force. */
    private static final MembershipSettings INITIAL_SETTINGS =
            new MembershipSettings(Duration.ofMillis(250), Duration.ofSeconds(3), Duration.ofSeconds(10));

    /** The state of the membership. */
    private final MembershipState state;

    /** Finds the first partners. */
    private final ContactSystem contacts;

    /** The parts of this system, in the order in which they run. */
    private final List<DecisionSystem> parts;

    /**
     * Creates a system that knows only this node.
     *
     * @param self This node.
     * @param seeds The peer addresses of nodes to contact first.
     * @param configuration The configuration of this node.
     * @param tokens Hands out the tokens of calls to the platform.
     * @param options The times and bounds that need no tuning.
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
     * Creates a system that knows only this node and has its own settings until a configuration is in force.
     *
     * @param self This node.
     * @param seeds The peer addresses of nodes to contact first.
     * @param configuration The configuration of this node.
     * @param tokens Hands out the tokens of calls to the platform.
     * @param options The times and bounds that need no tuning.
     * @param initialSettings The settings until a configuration is in force.
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
        state.merge().explainNewcomers(tick);
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
     * Returns what another node last said of itself.
     *
     * @param name The node's name.
     * @return The report, or empty if it has said nothing yet.
     */
    public Optional<PeerReport> report(NodeName name) {
        return state.reports().find(name);
    }

    /**
     * Returns what is known about the silence of the platform.
     *
     * @return What is known about the silence of the platform.
     */
    public PlatformNews platformNews() {
        return state.platform();
    }

    /**
     * Returns whether this node was paused and has not heard from another one since.
     *
     * @return {@code true} if this node's view may be outdated.
     */
    public boolean isDoubtful() {
        return state.health().isDoubtful();
    }

    /**
     * Returns whether this node has learned the table of another one, or found that it is alone.
     *
     * @return {@code true} if this node has joined.
     */
    public boolean hasJoined() {
        return contacts.hasJoined();
    }

    /**
     * Returns what was counted since the process started.
     *
     * @return What was counted.
     */
    public MembershipStatistics statistics() {
        return state.counters().snapshot();
    }
}
