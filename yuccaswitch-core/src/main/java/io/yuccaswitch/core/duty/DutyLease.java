package io.yuccaswitch.core.duty;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.MemberRanking;
import io.yuccaswitch.core.membership.MembershipEvent;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.peer.PeerEvent;
import io.yuccaswitch.core.platform.CallBackoff;
import io.yuccaswitch.core.platform.ObjectKey;
import io.yuccaswitch.core.platform.PlatformCalls;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.PlatformPurpose;
import io.yuccaswitch.core.platform.PlatformTokens;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.suspension.Suspended;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The lease of the node that performs the duties: orders to endpoints, and calls to the cloud. The receivers don't need
 * to check fencing numbers: a permission to act expires a short time after the last granted renewal was sent, and a
 * successor waits until the former holder's last permission has expired and a further safety time has passed. While the
 * platform is unreachable, no node acts.
 */
public final class DutyLease implements DecisionSystem {

    /** The key of the lease object. */
    static final ObjectKey KEY = new ObjectKey("order-lease", "engines");

    /** The interval of renewals. */
    private static final Duration RENEWAL_INTERVAL = Duration.ofMillis(700);

    /** The interval at which followers read the lease. Stale answers suffice and put little load on the platform. */
    private static final Duration FOLLOWER_INTERVAL = Duration.ofSeconds(1);

    /** The margin for late timers that a successor waits in addition to all other delays. */
    static final Duration TIMER_MARGIN = Duration.ofMillis(300);

    /** The initial backoff after a failed call. */
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(150);

    /** The maximum backoff after failed calls. */
    private static final Duration MAXIMUM_BACKOFF = Duration.ofMillis(700);

    /** How long renewals are relayed through other nodes before this node calls the platform directly again. */
    private static final Duration RELAYING_DURATION = Duration.ofSeconds(3);

    /** The number of nodes that stand by to acquire the lease. */
    private static final int FOLLOWERS = 2;

    /** The nodes of the site. */
    private final MembershipView membership;

    /** The order in which the working nodes may acquire the lease. */
    private final MemberRanking ranking;

    /** The pending calls to the platform. */
    private final PlatformCalls calls;

    /** Relays renewals through other nodes. */
    private final LeaseRelay relay;

    /** Since when renewals have been relayed through other nodes, or empty if they are not. */
    private Optional<MonotonicTime> relayingSince = Optional.empty();

    /** Whether the platform did not answer this node's last direct write of the lease. */
    private boolean platformUnreachable;

    /** The minimum time between calls of two holders. */
    private final Duration safetyTime;

    /** When the next call may be made. */
    private final CallBackoff backoff = new CallBackoff(INITIAL_BACKOFF, MAXIMUM_BACKOFF);

    /** The lease as this node last observed it. */
    private Optional<LeaseObservation> observed = Optional.empty();

    /** Whether this node holds the lease. */
    private boolean held;

    /** This node's permission to act. */
    private final DutyPermission permission = new DutyPermission();

    /** When the last relayed renewal was sent, including the time for which the VM was suspended before. */
    private MonotonicTime relaySentAt = new MonotonicTime(Long.MIN_VALUE / 2);

    /** Whether a call to the platform or a relayed renewal is pending. */
    private boolean callPending;

    /** Whether this node is leaving the site, and so releases the lease and no longer acquires it. */
    private boolean leaving;

    /** The time of the last tick. */
    private MonotonicTime now = MonotonicTime.ZERO;

    /**
     * Creates a lease that this node does not hold.
     *
     * @param membership The nodes of the site.
     * @param tokens Allocates the tokens of calls.
     * @param safetyTime The minimum time between calls of two holders.
     */
    public DutyLease(MembershipView membership, PlatformTokens tokens, Duration safetyTime) {
        this.membership = membership;
        this.safetyTime = safetyTime;
        ranking = new MemberRanking(KEY.name(), membership);
        calls = new PlatformCalls(tokens);
        relay = new LeaseRelay(membership);
    }

    @Override
    public void run(Tick tick) {
        now = tick.now();
        handleSuspensions(tick);
        calls.processAnswers(tick);
        handleReleases(tick);
        relay.receive(tick).ifPresent(outcome -> handleRelayOutcome(tick, outcome));
        leaving |= !tick.events(MembershipEvent.LeaveRequested.class).isEmpty();
        if (callPending || !backoff.allows(now)) {
            return;
        }
        if (held && leaving) {
            release(tick);
        } else if (held) {
            renew(tick);
        } else if (!leaving && isFollower()) {
            readOrAcquire(tick);
        }
    }

    /**
     * Returns whether this node holds the lease and should maintain the state that its duties require.
     *
     * @return {@code true} if this node holds the lease. To act, it also needs a {@link #permission()}.
     */
    public boolean isHeld() {
        return held;
    }

    /**
     * Returns the fencing number under which the holder may act now.
     *
     * @return The number, or empty if this node must not act.
     */
    public OptionalLong permission() {
        return held && permission.isValid(now)
                ? OptionalLong.of(observed.orElseThrow().value().fence())
                : OptionalLong.empty();
    }

    /** Records that the holder acts on a duty, or that an earlier call may still be in transit. */
    public void recordAction() {
        permission.recordAction(now);
    }

    /**
     * Returns whether this node holds the lease although the platform did not answer its last direct call.
     *
     * @return {@code true} if renewals are relayed through other nodes.
     */
    public boolean isRelaying() {
        return held && platformUnreachable;
    }

    /**
     * Returns this node's name, which is sent with each call.
     *
     * @return The name.
     */
    public NodeName holderName() {
        return membership.self().identity().name();
    }

    /**
     * Handles suspensions of the VM. The permission continues to expire during a suspension, and another node may have
     * acquired the lease: without this, a holder that was suspended for 5 s continued to act for up to 1.5 s alongside
     * its successor. The leases of other nodes are not treated as expired, because the gap may result from a change of
     * the time of day.
     *
     * @param tick The tick.
     */
    private void handleSuspensions(Tick tick) {
        for (Suspended event : tick.events(Suspended.class)) {
            permission.recordSuspension(event.gap());
            backoff.succeeded(tick.now(), Duration.ZERO);
            if (held) {
                tick.decide(Decision.of(
                        "duty-lease",
                        holderName().value(),
                        "uncertain",
                        "suspended for " + event.gap().toMillis() + " ms"));
            }
        }
    }

    /**
     * Returns whether this node stands by to acquire the lease. Each node reads the lease once after its start, because
     * an earlier incarnation of it may have held the lease.
     *
     * @return {@code true} if this node ranks among the followers, was the last holder, or has not read the lease yet.
     */
    private boolean isFollower() {
        if (observed.isEmpty() || observed.get().value().holder().equals(holderName())) {
            return true;
        }
        return ranking.isSelfAmong(FOLLOWERS);
    }

    /**
     * Reads the lease, or acquires it if all permissions of its holder have expired.
     *
     * @param tick The tick.
     */
    private void readOrAcquire(Tick tick) {
        if (observed.isPresent() && observed.get().isFree(now, holderName(), safetyTime)) {
            LeaseValue acquired = observed.get().value().acquiredBy(holderName());
            write(tick, acquired, version());
            return;
        }
        callPending = true;
        calls.call(
                tick,
                token -> new PlatformEffect.ListKind(
                        token, PlatformPurpose.LEASE, KEY.kind(), Optional.empty(), observed.isPresent()),
                (later, event) -> {
                    callPending = false;
                    if (!(event instanceof PlatformEvent.ObjectsListed listed)) {
                        backoff.failed(later);
                        return;
                    }
                    backoff.succeeded(later.now(), FOLLOWER_INTERVAL);
                    Optional<StoredObject> object = listed.objects().stream()
                            .filter(found -> found.key().name().equals(KEY.name()))
                            .findFirst();
                    if (object.isPresent()) {
                        observe(later, object.get());
                    } else if (observed.isEmpty()) {
                        write(later, new LeaseValue(holderName(), 1, false, 0, 0), OptionalLong.empty());
                    }
                });
    }

    /**
     * Records the state of the lease if it is newer than the last observation.
     *
     * @param tick The tick.
     * @param object The lease object.
     */
    private void observe(Tick tick, StoredObject object) {
        boolean newer = observed.isEmpty() || observed.get().version() < object.version();
        Optional<LeaseValue> value = LeaseValue.decode(object.value());
        if (newer && value.isPresent()) {
            adopt(tick, value.get(), object.version());
        }
    }

    /**
     * Adopts an observed state of the lease. A holder loses the lease as soon as it observes another holder or fencing
     * number in any way: without this, a holder that was suspended and then received the release by its successor
     * continued under the successor's fencing number.
     *
     * @param tick The tick.
     * @param value The value of the lease.
     * @param version The version of the lease object.
     */
    private void adopt(Tick tick, LeaseValue value, long version) {
        boolean own = held
                && value.holder().equals(holderName())
                && value.fence() == observed.orElseThrow().value().fence();
        observed = Optional.of(new LeaseObservation(value, version, tick.now()));
        if (held && !own) {
            tick.decide(Decision.of(
                    "duty-lease",
                    holderName().value(),
                    "lost",
                    "taken by " + value.holder() + " with fence " + value.fence()));
        }
        held = own;
    }

    /**
     * Returns the last observed version of the lease.
     *
     * @return The version.
     */
    private OptionalLong version() {
        return OptionalLong.of(observed.orElseThrow().version());
    }

    /**
     * Writes the lease to acquire or renew it.
     *
     * @param tick The tick.
     * @param value The new value.
     * @param expected The expected version of the lease object, or empty if it must not exist.
     */
    private void write(Tick tick, LeaseValue value, OptionalLong expected) {
        MonotonicTime sentAt = permission.withSuspensions(tick.now());
        callPending = true;
        calls.call(
                tick,
                token -> new PlatformEffect.Write(token, PlatformPurpose.LEASE, KEY, expected, value.encode()),
                (later, event) -> {
                    callPending = false;
                    platformUnreachable &= event instanceof PlatformEvent.Unavailable;
                    if (event instanceof PlatformEvent.Accepted accepted) {
                        handleGrant(later, new LeaseObservation(value, accepted.version(), later.now()), sentAt);
                    } else if (event instanceof PlatformEvent.Conflict conflict) {
                        handleConflict(later, conflict.current());
                    } else {
                        handleFailure(later);
                    }
                });
    }

    /**
     * Renews the lease, through another node if the platform did not answer this one.
     *
     * @param tick The tick.
     */
    private void renew(Tick tick) {
        LeaseValue renewed = observed.orElseThrow().value().renewed();
        boolean relaying = relayingSince
                .filter(since -> tick.now().since(since).compareTo(RELAYING_DURATION) < 0)
                .isPresent();
        if (relaying && relay.requestRenewal(tick, observed.orElseThrow().version(), renewed)) {
            callPending = true;
            relaySentAt = permission.withSuspensions(tick.now());
            return;
        }
        relayingSince = Optional.empty();
        write(tick, renewed, version());
    }

    /**
     * Handles the outcome of a relayed renewal.
     *
     * @param tick The tick.
     * @param outcome The outcome.
     */
    private void handleRelayOutcome(Tick tick, LeaseRelay.Outcome outcome) {
        callPending = false;
        if (!held) {
            return;
        }
        if (outcome.answer().isEmpty()) {
            relayingSince = Optional.empty();
            backoff.failed(tick);
            return;
        }
        DutyMessage.RenewalAnswered answer = outcome.answer().get();
        if (answer.granted()) {
            handleGrant(tick, new LeaseObservation(outcome.value(), answer.version(), tick.now()), relaySentAt);
        } else {
            handleConflict(tick, Optional.of(new StoredObject(KEY, answer.version(), answer.value(), false)));
        }
    }

    /**
     * Handles a write of the lease that the platform did not answer.
     *
     * @param tick The tick.
     */
    private void handleFailure(Tick tick) {
        backoff.failed(tick);
        platformUnreachable = true;
        if (held) {
            relayingSince = Optional.of(tick.now());
            backoff.succeeded(tick.now(), Duration.ZERO);
        }
    }

    /**
     * Handles a granted write of the lease.
     *
     * @param tick The tick.
     * @param granted The current state of the lease.
     * @param sentAt When the write was sent, including the time for which the VM was suspended before.
     */
    private void handleGrant(Tick tick, LeaseObservation granted, MonotonicTime sentAt) {
        observed = Optional.of(granted);
        if (!held) {
            tick.decide(Decision.of(
                    "duty-lease",
                    holderName().value(),
                    "held",
                    "fence " + granted.value().fence() + " version " + granted.version()));
        }
        held = true;
        permission.extend(sentAt);
        backoff.succeeded(tick.now(), RENEWAL_INTERVAL);
    }

    /**
     * Handles a conflicting change of the lease: by an earlier renewal of this node whose answer was lost, or by
     * another node.
     *
     * @param tick The tick.
     * @param current The current lease object.
     */
    private void handleConflict(Tick tick, Optional<StoredObject> current) {
        Optional<LeaseValue> value = current.flatMap(object -> LeaseValue.decode(object.value()));
        backoff.succeeded(tick.now(), Duration.ZERO);
        value.ifPresent(found -> adopt(tick, found, current.get().version()));
    }

    /**
     * Releases the lease, so that a successor need not wait until permissions expire, nor longer than the safety time
     * after the last call. In a rolling restart all nodes stop one after the other, and with the full safety time at
     * each of them no version was loaded for 8 s.
     *
     * @param tick The tick.
     */
    private void release(Tick tick) {
        permission.end();
        OptionalLong expected = version();
        Duration idle = permission.sinceLastAction(now).orElseGet(() -> safetyTime.plus(TIMER_MARGIN));
        LeaseValue value = observed.orElseThrow().value().afterRelease(idle);
        held = false;
        calls.call(
                tick,
                token -> new PlatformEffect.Write(token, PlatformPurpose.LEASE, KEY, expected, value.encode()),
                (later, event) -> {
                    if (event instanceof PlatformEvent.Accepted accepted) {
                        notifyFollowers(later, new DutyMessage.LeaseReleased(accepted.version(), value.encode()));
                    }
                    later.decide(Decision.of(
                            "duty-lease",
                            holderName().value(),
                            "given back",
                            event.getClass().getSimpleName() + ", nothing sent for " + idle.toMillis() + " ms"));
                });
    }

    /**
     * Notifies the followers of the release, so that they need not wait for their next read of the lease.
     *
     * @param tick The tick.
     * @param message The notification.
     */
    private void notifyFollowers(Tick tick, DutyMessage.LeaseReleased message) {
        Member self = membership.self();
        ranking.members().stream()
                .filter(member -> !member.equals(self))
                .limit(FOLLOWERS)
                .forEach(member ->
                        tick.emit(new PeerEffect.Send(member.identity().name(), message)));
    }

    /**
     * Handles notifications that the holder has released the lease.
     *
     * @param tick The tick.
     */
    private void handleReleases(Tick tick) {
        for (PeerEvent.Received received : tick.events(PeerEvent.Received.class)) {
            if (received.message() instanceof DutyMessage.LeaseReleased released) {
                observe(tick, new StoredObject(KEY, released.version(), released.value(), false));
                backoff.succeeded(tick.now(), Duration.ZERO);
            }
        }
    }
}
