package io.yuccaswitch.core.configuration.distribution;

import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.membership.RendezvousRanking;
import io.yuccaswitch.core.platform.CallBackoff;
import io.yuccaswitch.core.platform.ObjectKey;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.PlatformPurpose;
import io.yuccaswitch.core.platform.PlatformTokens;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;

/**
 * Supplies envelopes from the platform. Every node reads the configuration once when it starts. After that, only the
 * two highest-ranked working nodes of each availability zone watch for changes, so that the number of platform calls
 * grows with the availability zones and not with the nodes.
 */
final class ConfigurationWatchSystem implements DecisionSystem {

    /** The key of the object that holds the newest accepted generation. */
    static final ObjectKey CONFIGURATION_KEY = new ObjectKey("configuration", "fleet");

    /** The number of watchers of an availability zone. */
    private static final int WATCHERS_PER_ZONE = 2;

    /** The interval at which a node checks whether it is a watcher. */
    private static final Duration ROLE_CHECK_INTERVAL = Duration.ofMillis(500);

    /** The upper bound of the delay after the first failed call. */
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(500);

    /**
     * The maximum upper bound of the delay after a failed call, which limits how late a change is observed after an
     * outage.
     */
    private static final Duration MAXIMUM_BACKOFF = Duration.ofSeconds(4);

    /** The state of the configuration. */
    private final ConfigurationState state;

    /** The members. */
    private final MembershipView members;

    /** Allocates the tokens of calls. */
    private final PlatformTokens tokens;

    /** The backoff of calls to the platform. */
    private final CallBackoff backoff = new CallBackoff(INITIAL_BACKOFF, MAXIMUM_BACKOFF);

    /** The token of the call in flight, or empty if there is none. */
    private OptionalLong call = OptionalLong.empty();

    /** The version after which a watch resumes, or empty if the kind must be listed first. */
    private OptionalLong watchedVersion = OptionalLong.empty();

    /** Whether this node was a watcher at the last check. */
    private boolean watcher;

    /** The time of the next check whether this node is a watcher. */
    private MonotonicTime nextRoleCheck = new MonotonicTime(Long.MIN_VALUE);

    /** Whether the platform has answered since the start. */
    private boolean platformAnswered;

    /**
     * Creates a new system.
     *
     * @param state The state of the configuration.
     * @param members The members.
     * @param tokens Allocates the tokens of calls.
     */
    ConfigurationWatchSystem(ConfigurationState state, MembershipView members, PlatformTokens tokens) {
        this.state = state;
        this.members = members;
        this.tokens = tokens;
    }

    /** {@inheritDoc} */
    @Override
    public void run(Tick tick) {
        for (PlatformEvent event : tick.events(PlatformEvent.class)) {
            if (call.isPresent() && call.getAsLong() == event.token()) {
                call = OptionalLong.empty();
                receive(tick, event);
            }
        }
        if (call.isEmpty() && backoff.allows(tick.now()) && (!platformAnswered || hasWatcherRole(tick.now()))) {
            call = OptionalLong.of(tokens.next());
            tick.emit(nextCall(call.getAsLong()));
        }
    }

    /**
     * Returns whether the platform has answered since the start of this node, so that this node has received the
     * generation stored at that time.
     *
     * @return {@code true} if the platform has answered.
     */
    boolean hasPlatformAnswered() {
        return platformAnswered;
    }

    /**
     * Returns whether this node is a watcher, which is checked at an interval.
     *
     * @param now The current time.
     * @return {@code true} if this node is a watcher of its availability zone.
     */
    private boolean hasWatcherRole(MonotonicTime now) {
        if (!now.isBefore(nextRoleCheck)) {
            nextRoleCheck = now.plus(ROLE_CHECK_INTERVAL);
            watcher = isWatcher();
        }
        return watcher;
    }

    /**
     * Computes whether this node is a watcher.
     *
     * @return {@code true} if this node is a watcher of its availability zone.
     */
    private boolean isWatcher() {
        Member self = members.self();
        List<Member> zone = members.working().stream()
                .filter(member -> member.availabilityZone().equals(self.availabilityZone()))
                .toList();
        if (zone.size() <= WATCHERS_PER_ZONE) {
            return true;
        }
        return RendezvousRanking.rank(CONFIGURATION_KEY.toString(), zone).stream()
                .limit(WATCHERS_PER_ZONE)
                .anyMatch(member -> member.identity().equals(self.identity()));
    }

    /**
     * Returns the next call: a list, and then watches that resume after its version.
     *
     * @param token The call's token.
     * @return The call.
     */
    private PlatformEffect nextCall(long token) {
        return watchedVersion.isPresent()
                ? new PlatformEffect.Watch(
                        token, PlatformPurpose.CONFIGURATION, CONFIGURATION_KEY.kind(), watchedVersion.getAsLong())
                : new PlatformEffect.ListKind(token, PlatformPurpose.CONFIGURATION, CONFIGURATION_KEY.kind());
    }

    /**
     * Handles the answer to the call in flight.
     *
     * @param tick The tick.
     * @param event The answer.
     */
    private void receive(Tick tick, PlatformEvent event) {
        if (event instanceof PlatformEvent.ObjectsListed listed) {
            applyListing(tick, listed);
        } else {
            backoff.failed(tick);
        }
    }

    /**
     * Applies the objects that the platform listed.
     *
     * @param tick The tick.
     * @param listed The objects.
     */
    private void applyListing(Tick tick, PlatformEvent.ObjectsListed listed) {
        platformAnswered = true;
        backoff.succeeded(tick.now(), Duration.ZERO);
        watchedVersion = listed.reset() ? OptionalLong.empty() : OptionalLong.of(listed.version());
        for (StoredObject object : listed.objects()) {
            boolean alreadyHeld = object.value().equals(state.heldEnvelope());
            if (object.key().equals(CONFIGURATION_KEY) && !object.deleted() && !alreadyHeld) {
                state.decode(tick, object.value());
            }
        }
    }
}
