package io.yuccaswitch.core.lease;

import io.yuccaswitch.core.configuration.LeaseSettings;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.platform.PlatformReachability;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which node acts on a lease while the platform is unreachable for all nodes. The last record of the lease that
 * was read from the platform lists the holder and its successors, and thereby assigns each fencing number to one node.
 * The holder continues to act on its own; a successor takes over after the holder has been absent for the duration of a
 * lease and the safety margin.
 */
final class LeaseSuccession {

    /**
     * The number of lease durations for which no node may have received an answer of the platform before it is
     * considered unreachable.
     */
    private static final int UNREACHABLE_LEASE_DURATIONS = 3;

    /** The number of announcements within a lease duration. */
    private static final int ANNOUNCEMENTS_PER_LEASE_DURATION = 3;

    /** The members of the site. */
    private final MembershipView members;

    /** The reachability of the platform. */
    private final PlatformReachability reachability;

    /** The state of each lease. */
    private final Map<LeaseName, State> states = new HashMap<>();

    /** The time of the previous tick, or empty before the first one. */
    private Optional<MonotonicTime> lastTick = Optional.empty();

    /** The time since which the platform is known to be continuously unreachable, or empty if it is not. */
    private Optional<MonotonicTime> unreachableSince = Optional.empty();

    /**
     * Creates a new succession.
     *
     * @param members The members of the site.
     * @param reachability The reachability of the platform.
     */
    LeaseSuccession(MembershipView members, PlatformReachability reachability) {
        this.members = members;
        this.reachability = reachability;
    }

    /**
     * Updates whether the platform is unreachable. After a pause of the process, earlier observations are not trusted,
     * and the platform must again be unreachable for the duration of a lease before this node acts.
     *
     * @param tick The tick.
     * @param settings The settings of leases.
     */
    void observe(Tick tick, LeaseSettings settings) {
        MonotonicTime now = tick.now();
        boolean paused = lastTick.filter(last -> now.since(last).compareTo(settings.safetyMargin()) >= 0)
                .isPresent();
        lastTick = Optional.of(now);
        if (paused || !isPlatformUnreachable(now, settings)) {
            unreachableSince = Optional.empty();
            return;
        }
        unreachableSince = unreachableSince.or(() -> Optional.of(now));
    }

    /**
     * Records an announcement of a node that acts on a lease.
     *
     * @param name The lease's name.
     * @param fencingNumber The fencing number of the node.
     */
    void recordAnnouncement(LeaseName name, long fencingNumber) {
        State state = states.getOrDefault(name, State.INITIAL);
        if (fencingNumber > state.highest()) {
            states.put(name, state.withHighest(fencingNumber));
        }
    }

    /**
     * Decides whether this node acts on a lease.
     *
     * @param tick The tick.
     * @param row The lease, which this node does not hold on the platform.
     * @param settings The settings of leases.
     */
    void advance(Tick tick, LeaseRow row, LeaseSettings settings) {
        Optional<Integer> slot = unreachableSince
                .filter(since -> tick.now().since(since).compareTo(settings.duration()) >= 0)
                .flatMap(_since -> nextSlot(tick.now(), row, settings));
        if (slot.isEmpty()) {
            stop(tick, row, states.getOrDefault(row.name(), State.INITIAL));
            return;
        }
        act(tick, row, FencingNumbers.of(base(row), slot.get()), settings);
    }

    /**
     * Returns the lease if this node acts on it.
     *
     * @param name The lease's name.
     * @param now The current time.
     * @param settings The settings of leases.
     * @return The lease, or empty if this node does not act on it.
     */
    Optional<HeldLease> held(LeaseName name, MonotonicTime now, LeaseSettings settings) {
        return Optional.ofNullable(states.get(name))
                .flatMap(State::acting)
                .map(acting -> new HeldLease(
                        name,
                        acting.fencingNumber(),
                        acting.since(),
                        acting.confirmedAt().plus(settings.safetyMargin()),
                        true))
                .filter(lease -> now.isBefore(lease.validUntil()));
    }

    /**
     * Returns whether this node recently acted on a lease, so that it may acquire the lease immediately when the
     * platform is reachable again.
     *
     * @param name The lease's name.
     * @param now The current time.
     * @param settings The settings of leases.
     * @return {@code true} if this node acted on the lease within the duration of a lease.
     */
    boolean actedRecently(LeaseName name, MonotonicTime now, LeaseSettings settings) {
        return Optional.ofNullable(states.get(name))
                .flatMap(State::lastActed)
                .filter(last -> now.since(last).compareTo(settings.duration()) < 0)
                .isPresent();
    }

    /**
     * Removes the state of a lease that was acquired on the platform or is no longer required.
     *
     * @param name The lease's name.
     */
    void forget(LeaseName name) {
        states.remove(name);
    }

    /**
     * Returns whether the platform has been unreachable for all nodes for the required time.
     *
     * @param now The current time.
     * @param settings The settings of leases.
     * @return {@code true} if no node received an answer of the platform within that time.
     */
    private boolean isPlatformUnreachable(MonotonicTime now, LeaseSettings settings) {
        Duration threshold = settings.duration().multipliedBy(UNREACHABLE_LEASE_DURATIONS);
        return reachability
                .unreachableFor(now)
                .filter(elapsed -> elapsed.compareTo(threshold) >= 0)
                .isPresent();
    }

    /**
     * Finds the slot that this node acts in.
     *
     * @param now The current time.
     * @param row The lease.
     * @param settings The settings of leases.
     * @return The slot, or empty if it is not this node's turn.
     */
    private Optional<Integer> nextSlot(MonotonicTime now, LeaseRow row, LeaseSettings settings) {
        Optional<LeaseRecord> heldRecord =
                row.record().filter(record -> record.holder().isPresent());
        State state = states.getOrDefault(row.name(), State.INITIAL);
        if (heldRecord.isEmpty() || FencingNumbers.base(state.highest()) > base(row)) {
            return Optional.empty();
        }
        LeaseRecord record = heldRecord.get();
        NodeIdentity self = members.self().identity();
        long firstNumber = FencingNumbers.of(base(row), 0);
        int highest = state.highest() < firstNumber ? 0 : FencingNumbers.slot(state.highest());
        NodeIdentity current = record.ownerOf(highest).orElseThrow();
        if (current.equals(self)) {
            return state.acting().isPresent() ? Optional.of(highest) : slotOf(self, record, highest);
        }
        if (isWorking(current)) {
            states.put(row.name(), state.withAbsentSince(Optional.empty()));
            return Optional.empty();
        }
        MonotonicTime absentSince = state.absentSince().orElse(now);
        states.put(row.name(), state.withAbsentSince(Optional.of(absentSince)));
        if (now.since(absentSince).compareTo(settings.duration().plus(settings.safetyMargin())) < 0) {
            return Optional.empty();
        }
        return nextWorkingOwner(record, highest)
                .flatMap(next -> next.equals(self) ? slotOf(self, record, highest) : Optional.empty());
    }

    /**
     * Finds the next working node in the order of succession.
     *
     * @param record The platform's record of the lease.
     * @param after The slot after which to look.
     * @return The node, or empty if no participant is working.
     */
    private Optional<NodeIdentity> nextWorkingOwner(LeaseRecord record, int after) {
        int turns = record.successors().size() + 1;
        for (int slot = after + 1; slot <= after + turns; slot++) {
            Optional<NodeIdentity> owner = record.ownerOf(slot).filter(this::isWorking);
            if (owner.isPresent()) {
                return owner;
            }
        }
        return Optional.empty();
    }

    /**
     * Finds a node's next slot.
     *
     * @param node The node.
     * @param record The platform's record of the lease.
     * @param after The slot after which to look.
     * @return The slot, or empty if none is left.
     */
    private static Optional<Integer> slotOf(NodeIdentity node, LeaseRecord record, int after) {
        for (int slot = after + 1; slot < FencingNumbers.SLOTS; slot++) {
            if (record.ownerOf(slot).filter(node::equals).isPresent()) {
                return Optional.of(slot);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns whether a node is working in the given incarnation.
     *
     * @param node The node and its incarnation.
     * @return {@code true} if the node is working in this incarnation.
     */
    private boolean isWorking(NodeIdentity node) {
        return members.find(node.name())
                .filter(member -> member.identity().equals(node) && member.acceptsWork())
                .isPresent();
    }

    /**
     * Acts on a lease and announces it to the other participants at a fixed interval.
     *
     * @param tick The tick.
     * @param row The lease.
     * @param fencingNumber The fencing number of this node.
     * @param settings The settings of leases.
     */
    private void act(Tick tick, LeaseRow row, long fencingNumber, LeaseSettings settings) {
        State state = states.getOrDefault(row.name(), State.INITIAL);
        Acting acting = state.acting()
                .filter(existing -> existing.fencingNumber() == fencingNumber)
                .orElseGet(() -> {
                    tick.raise(new LeaseEvent.Acquired(row.name(), fencingNumber, true));
                    return new Acting(fencingNumber, tick.now(), tick.now(), tick.now());
                });
        MonotonicTime announceAt = acting.announceAt();
        if (!tick.now().isBefore(announceAt)) {
            announce(tick, row, fencingNumber);
            announceAt = tick.now().plus(settings.duration().dividedBy(ANNOUNCEMENTS_PER_LEASE_DURATION));
        }
        Acting confirmed = new Acting(fencingNumber, acting.since(), tick.now(), announceAt);
        states.put(row.name(), state.withHighest(fencingNumber).withActing(confirmed));
    }

    /**
     * Announces to the other participants that this node acts on a lease.
     *
     * @param tick The tick.
     * @param row The lease.
     * @param fencingNumber The fencing number of this node.
     */
    private void announce(Tick tick, LeaseRow row, long fencingNumber) {
        LeaseMessage message = new LeaseMessage.Acting(row.name().value(), fencingNumber);
        Member self = members.self();
        for (NodeIdentity node : row.record().orElseThrow().participants()) {
            if (!node.equals(self.identity())) {
                tick.emit(new PeerEffect.Send(node.name(), message));
            }
        }
    }

    /**
     * Stops acting on a lease.
     *
     * @param tick The tick.
     * @param row The lease.
     * @param state The state of the lease.
     */
    private void stop(Tick tick, LeaseRow row, State state) {
        if (state.acting().isEmpty()) {
            return;
        }
        long fencingNumber = state.acting().get().fencingNumber();
        tick.raise(new LeaseEvent.Lost(
                row.name(), fencingNumber, "the platform is no longer known to be unreachable for all nodes"));
        states.put(row.name(), state.withoutActing());
    }

    /**
     * Returns the base of the lease's fencing numbers.
     *
     * @param row The lease, which has a record.
     * @return The base.
     */
    private static long base(LeaseRow row) {
        LeaseRow.Observation observation = row.observation().orElseThrow();
        return observation.record().orElseThrow().baseAt(observation.version().orElseThrow());
    }

    /**
     * The state of this node while it acts on a lease without the platform.
     *
     * @param fencingNumber The fencing number of this node.
     * @param since The time since which this node acts.
     * @param confirmedAt The time of the tick that last confirmed that this node may act.
     * @param announceAt The time of the next announcement.
     */
    private record Acting(
            long fencingNumber, MonotonicTime since, MonotonicTime confirmedAt, MonotonicTime announceAt) {}

    /**
     * The state of a lease while the platform is unreachable.
     *
     * @param highest The highest fencing number with which a node is known to have acted, or zero if there is none.
     * @param absentSince The time since which the node whose turn it is has been absent, or empty if it is present.
     * @param acting The state of this node's acting, or empty if it does not act.
     * @param lastActed The time at which this node last acted, or empty if it never did.
     */
    private record State(
            long highest,
            Optional<MonotonicTime> absentSince,
            Optional<Acting> acting,
            Optional<MonotonicTime> lastActed) {

        /** The initial state of a lease. */
        static final State INITIAL = new State(0, Optional.empty(), Optional.empty(), Optional.empty());

        /**
         * Returns this state after a node, possibly this one, acted.
         *
         * @param number The fencing number that the node acted with.
         * @return The changed state.
         */
        State withHighest(long number) {
            return new State(number, Optional.empty(), acting, lastActed);
        }

        /**
         * Returns this state with another start of absence.
         *
         * @param since The time since which the node whose turn it is has been absent, or empty if it is present.
         * @return The changed state.
         */
        State withAbsentSince(Optional<MonotonicTime> since) {
            return new State(highest, since, acting, lastActed);
        }

        /**
         * Returns this state with this node acting.
         *
         * @param confirmed The state of this node's acting.
         * @return The changed state.
         */
        State withActing(Acting confirmed) {
            return new State(highest, absentSince, Optional.of(confirmed), Optional.of(confirmed.confirmedAt()));
        }

        /**
         * Returns this state with this node not acting.
         *
         * @return The changed state.
         */
        State withoutActing() {
            return new State(highest, absentSince, Optional.empty(), lastActed);
        }
    }
}
