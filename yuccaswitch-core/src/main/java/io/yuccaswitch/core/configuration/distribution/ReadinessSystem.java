package io.yuccaswitch.core.configuration.distribution;

import io.yuccaswitch.core.configuration.ConfigurationEvent;
import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.membership.MembershipEvent;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Optional;

/**
 * Finds out when a fresh node may serve. It needs a configuration in force that is not lower than any it heard of, and
 * somebody to vouch for it: a node that is ready itself, or the platform. Both are asked. A node that has heard one of
 * them waits for the other one for a while, since either may be behind, and goes on without it if it does not answer. A
 * snapshot on disk never vouches for itself: nobody could tell that it is not older than what this node served before.
 */
final class ReadinessSystem implements DecisionSystem {

    /** The time for which a node that could be ready waits for the other source. */
    private static final Duration PATIENCE = Duration.ofSeconds(2);

    /** The state of the configuration. */
    private final ConfigurationState state;

    /** The members. */
    private final MembershipView members;

    /** Brings envelopes from the platform. */
    private final ConfigurationWatchSystem watch;

    /** The highest generation that another node reported. */
    private long highestReported;

    /** Whether a node that is ready itself has reported. */
    private boolean vouched;

    /** Whether the membership has joined. */
    private boolean joined;

    /** The time since which this node could be ready, or empty if it could not. */
    private Optional<MonotonicTime> possibleSince = Optional.empty();

    /**
     * Creates a new system.
     *
     * @param state The state of the configuration.
     * @param members The members.
     * @param watch Brings envelopes from the platform.
     */
    ReadinessSystem(ConfigurationState state, MembershipView members, ConfigurationWatchSystem watch) {
        this.state = state;
        this.members = members;
        this.watch = watch;
    }

    /** {@inheritDoc} */
    @Override
    public void run(Tick tick) {
        if (state.isReady()) {
            return;
        }
        for (MembershipEvent.PeerReported event : tick.events(MembershipEvent.PeerReported.class)) {
            highestReported = Math.max(highestReported, event.generation());
            vouched |= event.ready();
        }
        joined |= !tick.events(MembershipEvent.SelfJoined.class).isEmpty();
        if (!isPossible()) {
            possibleSince = Optional.empty();
            return;
        }
        possibleSince = Optional.of(possibleSince.orElseGet(tick::now));
        boolean patient = tick.now().since(possibleSince.get()).compareTo(PATIENCE) < 0;
        if (hasHeardAll() || !patient) {
            state.becomeReady();
            tick.raise(new ConfigurationEvent.ReadyToServe(state.generation()));
            String reason = "vouched for by " + (vouched ? "a node" : "the platform");
            tick.decide(Decision.of("configuration", Long.toString(state.generation()), "ready", reason));
        }
    }

    /**
     * Returns whether this node could serve if the source that it has not heard of stays silent. A held generation that
     * this release does not understand does not hold the node back.
     *
     * @return {@code true} if this node could serve.
     */
    private boolean isPossible() {
        return joined
                && !state.isDecoding()
                && state.generation() > 0
                && state.heldGeneration() >= highestReported
                && (vouched || watch.hasHeard());
    }

    /**
     * Returns whether both sources were heard, where there are both.
     *
     * @return {@code true} if there is nobody else to wait for.
     */
    private boolean hasHeardAll() {
        boolean alone = members.working().size() == 1;
        return watch.hasHeard() && (vouched || alone);
    }
}
