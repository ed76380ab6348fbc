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
 * Determines when a newly started node may serve. The node needs an active configuration whose generation is not lower
 * than any reported to it, and a confirmation by a node that is itself ready or by the platform. Both sources are
 * queried. After one of them has answered, the node waits for the other one until a timeout, since either may lag. A
 * snapshot on disk is not a confirmation, since it may be older than the generation that this node served before.
 */
final class ReadinessSystem implements DecisionSystem {

    /** The time for which a node that could be ready waits for the other source. */
    private static final Duration OTHER_SOURCE_TIMEOUT = Duration.ofSeconds(2);

    /** The state of the configuration. */
    private final ConfigurationState state;

    /** The members. */
    private final MembershipView members;

    /** Supplies envelopes from the platform. */
    private final ConfigurationWatchSystem watch;

    /** The highest generation reported by another node. */
    private long highestReported;

    /** Whether a node that is itself ready has reported. */
    private boolean confirmedByNode;

    /** Whether this node has joined the membership. */
    private boolean joined;

    /** The time since which this node could be ready, or empty if it could not. */
    private Optional<MonotonicTime> couldServeSince = Optional.empty();

    /**
     * Creates a new system.
     *
     * @param state The state of the configuration.
     * @param members The members.
     * @param watch Supplies envelopes from the platform.
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
            confirmedByNode |= event.ready();
        }
        joined |= !tick.events(MembershipEvent.SelfJoined.class).isEmpty();
        if (!couldServe()) {
            couldServeSince = Optional.empty();
            return;
        }
        couldServeSince = Optional.of(couldServeSince.orElseGet(tick::now));
        boolean withinTimeout = tick.now().since(couldServeSince.get()).compareTo(OTHER_SOURCE_TIMEOUT) < 0;
        if (haveAllSourcesAnswered() || !withinTimeout) {
            state.becomeReady();
            tick.raise(new ConfigurationEvent.ReadyToServe(state.generation()));
            String reason = "confirmed by " + (confirmedByNode ? "a node" : "the platform");
            tick.decide(Decision.of("configuration", Long.toString(state.generation()), "ready", reason));
        }
    }

    /**
     * Returns whether this node could serve if the source that has not answered stays silent. A held generation that
     * this release does not support does not prevent readiness.
     *
     * @return {@code true} if this node could serve.
     */
    private boolean couldServe() {
        return joined
                && !state.isDecoding()
                && state.generation() > 0
                && state.heldGeneration() >= highestReported
                && (confirmedByNode || watch.hasPlatformAnswered());
    }

    /**
     * Returns whether all existing sources have answered.
     *
     * @return {@code true} if there is no other source to wait for.
     */
    private boolean haveAllSourcesAnswered() {
        boolean alone = members.working().size() == 1;
        return watch.hasPlatformAnswered() && (confirmedByNode || alone);
    }
}
