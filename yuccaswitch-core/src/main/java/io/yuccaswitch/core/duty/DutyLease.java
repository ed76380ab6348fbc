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
import io.yuccaswitch.core.platform.CallBackOff;
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
 * The lease of the node that has the duties: orders to endpoints, and calls to the cloud. Nobody there needs to check
 * fencing numbers: a permission to act ends a short time after the sending of the last renewal that the platform
 * granted, and a successor lets the former holder's last permission and a further safety time pass. While the platform
 * is away nobody acts.
 */
public final class DutyLease implements DecisionSystem {

    /** The key of the lease's object. */
    static final ObjectKey KEY = new ObjectKey("order-lease", "engines");

    /** The interval of renewals. */
    private static final Duration RENEWAL_INTERVAL = Duration.ofMillis(700);

    /** The interval at which nodes that may follow read the lease. Stale answers are good enough and cheap. */
    private static final Duration FOLLOWER_INTERVAL = Duration.ofSeconds(1);

    /** What the successor waits beyond all else, for timers that fire late. */
    static final Duration MARGIN = Duration.ofMillis(300);

    /** The first wait after a failed call. */
    private static final Duration FIRST_BACK_OFF = Duration.ofMillis(150);

    /** The longest wait after failed calls. */
    private static final Duration LONGEST_BACK_OFF = Duration.ofMillis(700);

    /** How long renewals go through other nodes before this one tries the platform itself again. */
    private static final Duration RELAYING_TIME = Duration.ofSeconds(3);

    /** The number of nodes that stand by to take the lease. */
    private static final int FOLLOWERS = 2;

    /** The nodes of the site. */
    private final MembershipView membership;

    /** The order in which the working nodes may succeed to the lease. */
    private final MemberRanking ranking;

    /** The calls to the platform that wait for their answers. */
    private final PlatformCalls calls;

    /** Has the lease renewed through other nodes. */
    private final LeaseRelay relay;

    /** Since when renewals have gone through other nodes, if they do. */
    private Optional<MonotonicTime> relayingSince = Optional.empty();

    /** Whether the platform did not answer this node's last call on the lease. */
    private boolean cutOff;

    /** The least time between calls of two holders. */
    private final Duration safetyTime;

    /** When the next call may be made. */
    private final CallBackOff backOff = new CallBackOff(FIRST_BACK_OFF, LONGEST_BACK_OFF);

    /** The lease as it was last seen. */
    private Optional<LeaseObservation> observed = Optional.empty();

    /** Whether this node holds the lease. */
    private boolean held;

    /** Until when this node may act. */
    private final DutyPermission permission = new DutyPermission();

    /** When the renewal that another node was asked for was sent. */
    private MonotonicTime relayedAt = new MonotonicTime(Long.MIN_VALUE / 2);

    /** Whether a call waits for its answer. */
    private boolean calling;

    /** Whether this node gives the lease back and takes it no more. */
    private boolean leaving;

    /** The present, as of the last tick. */
    private MonotonicTime now = MonotonicTime.ZERO;

    /**
     * Creates a lease that this node does not hold.
     *
     * @param membership The nodes of the site.
     * @param tokens Hands out the tokens of calls.
     * @param safetyTime The least time between calls of two holders.
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
        takeSuspensions(tick);
        calls.answer(tick);
        takeGivenBack(tick);
        relay.receive(tick).ifPresent(outcome -> takeRelayed(tick, outcome));
        leaving |= !tick.events(MembershipEvent.LeaveRequested.class).isEmpty();
        if (calling || !backOff.allows(now)) {
            return;
        }
        if (held && leaving) {
            giveBack(tick);
        } else if (held) {
            renew(tick);
        } else if (!leaving && isFollower()) {
            follow(tick);
        }
    }

    /**
     * Returns whether this node holds the lease, such that it should know what its duties need.
     *
     * @return {@code true} if it does. Acting needs a permission beside.
     */
    public boolean isHeld() {
        return held;
    }

    /**
     * Returns the fencing number under which the holder may act now.
     *
     * @return The number, or empty if nothing may be sent.
     */
    public OptionalLong permission() {
        return held && permission.isValid(now)
                ? OptionalLong.of(observed.orElseThrow().value().fence())
                : OptionalLong.empty();
    }

    /** Notes that the holder acts on a duty, or that what it sent may be on its way still. */
    public void noteAction() {
        permission.noteAction(now);
    }

    /**
     * Returns whether the platform has not answered this node lately, while others reach it.
     *
     * @return {@code true} if renewals go through other nodes.
     */
    public boolean isRelaying() {
        return held && cutOff;
    }

    /**
     * Returns this node's name, which calls on duties bear.
     *
     * @return The name.
     */
    public NodeName holderName() {
        return membership.self().identity().name();
    }

    /**
     * Takes that the machine was suspended. The permission has gone on to pass meanwhile and another node may hold the
     * lease: without this, a holder that was suspended for 5 s went on to act for up to 1.5 s beside its successor.
     * What others hold is not taken to have ended, as the time of day may just have been set.
     *
     * @param tick The tick.
     */
    private void takeSuspensions(Tick tick) {
        for (Suspended event : tick.events(Suspended.class)) {
            permission.suspend(event.gap());
            backOff.succeeded(tick.now(), Duration.ZERO);
            if (held) {
                tick.decide(Decision.of(
                        "duty-lease",
                        holderName().value(),
                        "in doubt",
                        "suspended for " + event.gap().toMillis() + " ms"));
            }
        }
    }

    /**
     * Returns whether this node stands by to take the lease. Each node looks once when it starts, as it may have held
     * the lease in an earlier life.
     *
     * @return {@code true} if it ranks among the first, held the lease itself, or has not looked yet.
     */
    private boolean isFollower() {
        if (observed.isEmpty() || observed.get().value().holder().equals(holderName())) {
            return true;
        }
        return ranking.isSelfAmong(FOLLOWERS);
    }

    /**
     * Reads the lease, or takes it if its holder is past all permissions.
     *
     * @param tick The tick.
     */
    private void follow(Tick tick) {
        if (observed.isPresent() && observed.get().isFree(now, holderName(), safetyTime)) {
            LeaseValue taken = observed.get().value().takenBy(holderName());
            write(tick, taken, version());
            return;
        }
        calling = true;
        calls.call(
                tick,
                token -> new PlatformEffect.ListKind(
                        token, PlatformPurpose.LEASE, KEY.kind(), Optional.empty(), observed.isPresent()),
                (later, event) -> {
                    calling = false;
                    if (!(event instanceof PlatformEvent.ObjectsListed listed)) {
                        backOff.failed(later);
                        return;
                    }
                    backOff.succeeded(later.now(), FOLLOWER_INTERVAL);
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
     * Takes note of the lease as it is.
     *
     * @param tick The tick.
     * @param object The lease's object.
     */
    private void observe(Tick tick, StoredObject object) {
        boolean newer = observed.isEmpty() || observed.get().version() < object.version();
        Optional<LeaseValue> value = LeaseValue.decode(object.value());
        if (newer && value.isPresent()) {
            adopt(tick, value.get(), object.version());
        }
    }

    /**
     * Takes the lease as it is. A holder that learns of another one in any way holds it no more: one that was suspended
     * and then told that its successor had given the lease back went on under the successor's fencing number.
     *
     * @param tick The tick.
     * @param value What the lease says.
     * @param version The version of its object.
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
     * Returns the version of the lease as it was last seen.
     *
     * @return The version.
     */
    private OptionalLong version() {
        return OptionalLong.of(observed.orElseThrow().version());
    }

    /**
     * Takes or renews the lease.
     *
     * @param tick The tick.
     * @param value The new value.
     * @param expected The version that the lease must have, or empty if there must be none.
     */
    private void write(Tick tick, LeaseValue value, OptionalLong expected) {
        MonotonicTime sentAt = permission.awake(tick.now());
        calling = true;
        calls.call(
                tick,
                token -> new PlatformEffect.Write(token, PlatformPurpose.LEASE, KEY, expected, value.encode()),
                (later, event) -> {
                    calling = false;
                    cutOff &= event instanceof PlatformEvent.Unavailable;
                    if (event instanceof PlatformEvent.Accepted accepted) {
                        grant(later, new LeaseObservation(value, accepted.version(), later.now()), sentAt);
                    } else if (event instanceof PlatformEvent.Conflict conflict) {
                        contest(later, conflict.current());
                    } else {
                        takeFailure(later);
                    }
                });
    }

    /**
     * Renews the lease, through another node where the platform has not answered this one.
     *
     * @param tick The tick.
     */
    private void renew(Tick tick) {
        LeaseValue renewed = observed.orElseThrow().value().renewed();
        boolean relays = relayingSince
                .filter(since -> tick.now().since(since).compareTo(RELAYING_TIME) < 0)
                .isPresent();
        if (relays && relay.ask(tick, observed.orElseThrow().version(), renewed)) {
            calling = true;
            relayedAt = permission.awake(tick.now());
            return;
        }
        relayingSince = Optional.empty();
        write(tick, renewed, version());
    }

    /**
     * Takes what became of a renewal through another node.
     *
     * @param tick The tick.
     * @param outcome The outcome.
     */
    private void takeRelayed(Tick tick, LeaseRelay.Outcome outcome) {
        calling = false;
        if (!held) {
            return;
        }
        if (outcome.answer().isEmpty()) {
            relayingSince = Optional.empty();
            backOff.failed(tick);
            return;
        }
        DutyMessage.LeaseAnswered answer = outcome.answer().get();
        if (answer.granted()) {
            grant(tick, new LeaseObservation(outcome.value(), answer.version(), tick.now()), relayedAt);
        } else {
            contest(tick, Optional.of(new StoredObject(KEY, answer.version(), answer.value(), false)));
        }
    }

    /**
     * Takes note that the platform did not answer a call on the lease.
     *
     * @param tick The tick.
     */
    private void takeFailure(Tick tick) {
        backOff.failed(tick);
        cutOff = true;
        if (held) {
            relayingSince = Optional.of(tick.now());
            backOff.succeeded(tick.now(), Duration.ZERO);
        }
    }

    /**
     * Takes a granted renewal.
     *
     * @param tick The tick.
     * @param granted The lease as it is.
     * @param sentAt When the renewal was sent, with the time for which the machine was suspended before.
     */
    private void grant(Tick tick, LeaseObservation granted, MonotonicTime sentAt) {
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
        backOff.succeeded(tick.now(), RENEWAL_INTERVAL);
    }

    /**
     * Takes note that the lease changed meanwhile: by an earlier renewal of this node whose answer was lost, or by
     * another node.
     *
     * @param tick The tick.
     * @param current The lease's object.
     */
    private void contest(Tick tick, Optional<StoredObject> current) {
        Optional<LeaseValue> value = current.flatMap(object -> LeaseValue.decode(object.value()));
        backOff.succeeded(tick.now(), Duration.ZERO);
        value.ifPresent(found -> adopt(tick, found, current.get().version()));
    }

    /**
     * Gives the lease back, such that a successor need not wait for permissions, nor for longer than the safety time
     * after the last call. All nodes are stopped in turn at times, and with the whole safety time at each of them no
     * version was loaded for 8 s.
     *
     * @param tick The tick.
     */
    private void giveBack(Tick tick) {
        permission.end();
        OptionalLong expected = version();
        Duration quiet = permission.quiet(now).orElseGet(() -> safetyTime.plus(MARGIN));
        LeaseValue value = observed.orElseThrow().value().givenBack(quiet);
        held = false;
        calls.call(
                tick,
                token -> new PlatformEffect.Write(token, PlatformPurpose.LEASE, KEY, expected, value.encode()),
                (later, event) -> {
                    if (event instanceof PlatformEvent.Accepted accepted) {
                        tellFollowers(later, new DutyMessage.LeaseGivenBack(accepted.version(), value.encode()));
                    }
                    later.decide(Decision.of(
                            "duty-lease",
                            holderName().value(),
                            "given back",
                            event.getClass().getSimpleName() + ", nothing sent for " + quiet.toMillis() + " ms"));
                });
    }

    /**
     * Tells those that may take the lease that it was given back, before they read it.
     *
     * @param tick The tick.
     * @param message What to tell.
     */
    private void tellFollowers(Tick tick, DutyMessage.LeaseGivenBack message) {
        Member self = membership.self();
        ranking.members().stream()
                .filter(member -> !member.equals(self))
                .limit(FOLLOWERS)
                .forEach(member ->
                        tick.emit(new PeerEffect.Send(member.identity().name(), message)));
    }

    /**
     * Takes note of a lease that its holder has given back.
     *
     * @param tick The tick.
     */
    private void takeGivenBack(Tick tick) {
        for (PeerEvent.Received received : tick.events(PeerEvent.Received.class)) {
            if (received.message() instanceof DutyMessage.LeaseGivenBack given) {
                observe(tick, new StoredObject(KEY, given.version(), given.value(), false));
                backOff.succeeded(tick.now(), Duration.ZERO);
            }
        }
    }
}
