package io.yuccaswitch.core.lease;

import io.yuccaswitch.core.configuration.LeaseSettings;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.platform.PlatformNews;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Decides who acts on a lease while the platform is silent towards every node. The platform's record of the lease, read
 * while the platform still answered, lists the holder and its successors and thereby gives each fencing number to one
 * node. The holder goes on by itself; a successor begins once the holder has been gone for a whole lease.
 */
final class LeaseSuccession {

    /** The number of durations of a lease for which no node must have heard the platform. */
    private static final int SILENT_DURATIONS = 3;

    /** The number of announcements in the duration of a lease. */
    private static final int ANNOUNCEMENTS_PER_DURATION = 3;

    /** The members of the site. */
    private final MembershipView members;

    /** What is known about the silence of the platform. */
    private final PlatformNews news;

    /** The state of each lease. */
    private final Map<LeaseName, State> states = new HashMap<>();

    /** The time of the tick before, or empty before the first one. */
    private Optional<MonotonicTime> lastTick = Optional.empty();

    /** The time since which the platform's silence is known without a break, or empty if it is not known. */
    private Optional<MonotonicTime> calmSince = Optional.empty();

    /**
     * Creates a new succession.
     *
     * @param members The members of the site.
     * @param news What is known about the silence of the platform.
     */
    LeaseSuccession(MembershipView members, PlatformNews news) {
        this.members = members;
        this.news = news;
    }

    /**
     * Takes in the time of a tick. A process that was paused trusts nothing that it knew for a while.
     *
     * @param tick The tick.
     * @param settings The settings of leases.
     */
    void observe(Tick tick, LeaseSettings settings) {
        MonotonicTime now = tick.now();
        boolean paused = lastTick.filter(last -> now.since(last).compareTo(settings.safetyMargin()) >= 0)
                .isPresent();
        lastTick = Optional.of(now);
        if (paused || !isSilent(now, settings)) {
            calmSince = Optional.empty();
            return;
        }
        calmSince = calmSince.or(() -> Optional.of(now));
    }

    /**
     * Takes in the announcement of a node that acts on a lease.
     *
     * @param name The lease's name.
     * @param fencingNumber The fencing number of the node.
     */
    void hear(LeaseName name, long fencingNumber) {
        State state = states.getOrDefault(name, State.EMPTY);
        if (fencingNumber > state.highest()) {
            states.put(name, state.withHighest(fencingNumber));
        }
    }

    /**
     * Decides whether this node acts on a lease from now on.
     *
     * @param tick The tick.
     * @param row The lease, which this node does not hold by the platform's word.
     * @param settings The settings of leases.
     */
    void advance(Tick tick, LeaseRow row, LeaseSettings settings) {
        Optional<Integer> slot = calmSince
                .filter(since -> tick.now().since(since).compareTo(settings.duration()) >= 0)
                .flatMap(_since -> nextSlot(tick.now(), row, settings));
        if (slot.isEmpty()) {
            stop(tick, row, states.getOrDefault(row.name(), State.EMPTY));
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
     * Returns whether this node acted on a lease until a short time ago, such that it may take the lease at once when
     * the platform answers again.
     *
     * @param name The lease's name.
     * @param now The current time.
     * @param settings The settings of leases.
     * @return {@code true} if this node acted on the lease within the duration of a lease.
     */
    boolean actedLately(LeaseName name, MonotonicTime now, LeaseSettings settings) {
        return Optional.ofNullable(states.get(name))
                .flatMap(State::lastActed)
                .filter(last -> now.since(last).compareTo(settings.duration()) < 0)
                .isPresent();
    }

    /**
     * Forgets a lease, because the platform answered about it or nobody needs it any more.
     *
     * @param name The lease's name.
     */
    void forget(LeaseName name) {
        states.remove(name);
    }

    /**
     * Returns whether the platform has been silent towards all nodes for long enough.
     *
     * @param now The current time.
     * @param settings The settings of leases.
     * @return {@code true} if no node heard the platform for long enough.
     */
    private boolean isSilent(MonotonicTime now, LeaseSettings settings) {
        Duration threshold = settings.duration().multipliedBy(SILENT_DURATIONS);
        return news.silentFor(now)
                .filter(silence -> silence.compareTo(threshold) >= 0)
                .isPresent();
    }

    /**
     * Finds the slot that this node acts in.
     *
     * @param now The current time.
     * @param row The lease.
     * @param settings The settings of leases.
     * @return The slot, or empty if another node's turn has not ended.
     */
    private Optional<Integer> nextSlot(MonotonicTime now, LeaseRow row, LeaseSettings settings) {
        Optional<LeaseRecord> known =
                row.record().filter(record -> record.holder().isPresent());
        State state = states.getOrDefault(row.name(), State.EMPTY);
        if (known.isEmpty() || FencingNumbers.base(state.highest()) > base(row)) {
            return Optional.empty();
        }
        LeaseRecord record = known.get();
        NodeIdentity self = members.self().identity();
        long first = FencingNumbers.of(base(row), 0);
        int highest = state.highest() < first ? 0 : FencingNumbers.slot(state.highest());
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
        return nextWorking(record, highest)
                .flatMap(next -> next.equals(self) ? slotOf(self, record, highest) : Optional.empty());
    }

    /**
     * Finds the next node in turn that works.
     *
     * @param record The platform's record of the lease.
     * @param after The slot after which to look.
     * @return The node, or empty if none works.
     */
    private Optional<NodeIdentity> nextWorking(LeaseRecord record, int after) {
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
     * @return The slot, or empty if all are used up.
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
     * Returns whether a node works in this very incarnation.
     *
     * @param node The node and its incarnation.
     * @return {@code true} if the node works.
     */
    private boolean isWorking(NodeIdentity node) {
        return members.find(node.name())
                .filter(member -> member.identity().equals(node) && member.takesWork())
                .isPresent();
    }

    /**
     * Acts on a lease, and tells the other participants.
     *
     * @param tick The tick.
     * @param row The lease.
     * @param fencingNumber The fencing number of this node.
     * @param settings The settings of leases.
     */
    private void act(Tick tick, LeaseRow row, long fencingNumber, LeaseSettings settings) {
        State state = states.getOrDefault(row.name(), State.EMPTY);
        Acting acting = state.acting()
                .filter(present -> present.fencingNumber() == fencingNumber)
                .orElseGet(() -> {
                    tick.raise(new LeaseEvent.Acquired(row.name(), fencingNumber, true));
                    return new Acting(fencingNumber, tick.now(), tick.now(), tick.now());
                });
        MonotonicTime announceAt = acting.announceAt();
        if (!tick.now().isBefore(announceAt)) {
            announce(tick, row, fencingNumber);
            announceAt = tick.now().plus(settings.duration().dividedBy(ANNOUNCEMENTS_PER_DURATION));
        }
        Acting confirmed = new Acting(fencingNumber, acting.since(), tick.now(), announceAt);
        states.put(row.name(), state.withHighest(fencingNumber).withActing(confirmed));
    }

    /**
     * Tells the other participants that this node acts on a lease.
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
     * Stops to act on a lease.
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
        tick.raise(new LeaseEvent.Lost(row.name(), fencingNumber, "no longer certain that nobody hears the platform"));
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
     * What this node does on a lease while the platform is silent.
     *
     * @param fencingNumber The fencing number of this node.
     * @param since The time since which this node acts.
     * @param confirmedAt The time of the tick that last confirmed that this node may act.
     * @param announceAt The time of the next announcement.
     */
    private record Acting(
            long fencingNumber, MonotonicTime since, MonotonicTime confirmedAt, MonotonicTime announceAt) {}

    /**
     * The state of a lease while the platform is silent.
     *
     * @param highest The highest fencing number that any node is known to have acted with, or zero if none is.
     * @param absentSince The time since which the node whose turn it is has been gone, or empty if it is not.
     * @param acting What this node does, or empty if it does not act.
     * @param lastActed The time at which this node last acted, or empty if it never did.
     */
    private record State(
            long highest,
            Optional<MonotonicTime> absentSince,
            Optional<Acting> acting,
            Optional<MonotonicTime> lastActed) {

        /** The state of a lease that nothing is known about. */
        static final State EMPTY = new State(0, Optional.empty(), Optional.empty(), Optional.empty());

        /**
         * Returns this state after another node or this one acted.
         *
         * @param number The fencing number that the node acted with.
         * @return The changed state.
         */
        State withHighest(long number) {
            return new State(number, Optional.empty(), acting, lastActed);
        }

        /**
         * Returns this state with another time of absence.
         *
         * @param since The time since which the node whose turn it is has been gone.
         * @return The changed state.
         */
        State withAbsentSince(Optional<MonotonicTime> since) {
            return new State(highest, since, acting, lastActed);
        }

        /**
         * Returns this state with this node acting.
         *
         * @param confirmed What this node does.
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
