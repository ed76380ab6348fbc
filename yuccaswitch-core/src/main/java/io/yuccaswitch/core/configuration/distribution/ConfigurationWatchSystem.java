package io.yuccaswitch.core.configuration.distribution;

import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.membership.RendezvousRanking;
import io.yuccaswitch.core.platform.CallBackOff;
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
 * Brings envelopes from the platform. Every node reads once when it starts; after that, only the two nodes of each
 * availability zone that rank highest among its working ones watch for changes, so that the platform's calls grow with
 * the zones and not with the nodes.
 */
final class ConfigurationWatchSystem implements DecisionSystem {

    /** The key of the object that holds the newest accepted generation. */
    static final ObjectKey KEY = new ObjectKey("configuration", "fleet");

    /** The number of watching nodes of an availability zone. */
    private static final int WATCHERS_PER_ZONE = 2;

    /** The interval at which a node looks into whether it should watch. */
    private static final Duration ROLE_INTERVAL = Duration.ofMillis(500);

    /** The first bound of the delay after a failed call. */
    private static final Duration FIRST_DELAY = Duration.ofMillis(500);

    /** The largest bound of the delay after a failed call, which bounds how late a change is seen after an outage. */
    private static final Duration LONGEST_DELAY = Duration.ofSeconds(4);

    /** The state of the configuration. */
    private final ConfigurationState state;

    /** The members. */
    private final MembershipView members;

    /** Hands out the tokens of calls. */
    private final PlatformTokens tokens;

    /** When to call again. */
    private final CallBackOff backOff = new CallBackOff(FIRST_DELAY, LONGEST_DELAY);

    /** The token of the call under way, or empty if there is none. */
    private OptionalLong call = OptionalLong.empty();

    /** The version from which a watch goes on, or empty if the kind must be listed first. */
    private OptionalLong watchedVersion = OptionalLong.empty();

    /** Whether this node was among the watching ones when it was last looked into. */
    private boolean watcher;

    /** The time at which that is looked into next. */
    private MonotonicTime nextRoleCheck = new MonotonicTime(Long.MIN_VALUE);

    /** Whether the platform has answered since the start. */
    private boolean heard;

    /**
     * Creates a new system.
     *
     * @param state The state of the configuration.
     * @param members The members.
     * @param tokens Hands out the tokens of calls.
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
        if (call.isEmpty() && backOff.allows(tick.now()) && (!heard || hasWatcherRole(tick.now()))) {
            call = OptionalLong.of(tokens.next());
            tick.emit(nextCall(call.getAsLong()));
        }
    }

    /**
     * Returns whether the platform has answered since the start, such that what it held then is known.
     *
     * @return {@code true} if the platform has answered.
     */
    boolean hasHeard() {
        return heard;
    }

    /**
     * Returns whether this node watches, and looks into it now and then only.
     *
     * @param now The current time.
     * @return {@code true} if this node is one of the watching nodes of its availability zone.
     */
    private boolean hasWatcherRole(MonotonicTime now) {
        if (!now.isBefore(nextRoleCheck)) {
            nextRoleCheck = now.plus(ROLE_INTERVAL);
            watcher = isWatcher();
        }
        return watcher;
    }

    /**
     * Computes whether this node watches.
     *
     * @return {@code true} if this node is one of the watching nodes of its availability zone.
     */
    private boolean isWatcher() {
        Member self = members.self();
        List<Member> zone = members.working().stream()
                .filter(member -> member.availabilityZone().equals(self.availabilityZone()))
                .toList();
        if (zone.size() <= WATCHERS_PER_ZONE) {
            return true;
        }
        return RendezvousRanking.rank(KEY.toString(), zone).stream()
                .limit(WATCHERS_PER_ZONE)
                .anyMatch(member -> member.identity().equals(self.identity()));
    }

    /**
     * Returns the next call: a list, and then watches that go on from there.
     *
     * @param token The call's token.
     * @return The call.
     */
    private PlatformEffect nextCall(long token) {
        return watchedVersion.isPresent()
                ? new PlatformEffect.Watch(token, PlatformPurpose.CONFIGURATION, KEY.kind(), watchedVersion.getAsLong())
                : new PlatformEffect.ListKind(token, PlatformPurpose.CONFIGURATION, KEY.kind());
    }

    /**
     * Handles the answer to the call under way.
     *
     * @param tick The tick.
     * @param event The answer.
     */
    private void receive(Tick tick, PlatformEvent event) {
        if (event instanceof PlatformEvent.ObjectsListed listed) {
            take(tick, listed);
        } else {
            backOff.failed(tick);
        }
    }

    /**
     * Takes the objects that the platform listed.
     *
     * @param tick The tick.
     * @param listed The objects.
     */
    private void take(Tick tick, PlatformEvent.ObjectsListed listed) {
        heard = true;
        backOff.succeeded(tick.now(), Duration.ZERO);
        watchedVersion = listed.reset() ? OptionalLong.empty() : OptionalLong.of(listed.version());
        for (StoredObject object : listed.objects()) {
            boolean known = object.value().equals(state.heldEnvelope());
            if (object.key().equals(KEY) && !object.deleted() && !known) {
                state.decode(tick, object.value());
            }
        }
    }
}
