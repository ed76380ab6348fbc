package io.yuccaswitch.core.lease;

import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.membership.RendezvousRanking;
import io.yuccaswitch.core.platform.ObjectKey;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformPurpose;
import io.yuccaswitch.core.platform.PlatformTokens;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** Sends the calls to the platform that concern leases, and selects the nodes that send them. */
final class LeaseCalls {

    /** The members of the site. */
    private final MembershipView members;

    /** Allocates the tokens of calls. */
    private final PlatformTokens tokens;

    /** The number of the last write. */
    private long lastWriteNumber;

    /**
     * Creates a new instance.
     *
     * @param members The members of the site.
     * @param tokens Allocates the tokens of calls.
     */
    LeaseCalls(MembershipView members, PlatformTokens tokens) {
        this.members = members;
        this.tokens = tokens;
    }

    /**
     * Reads a lease.
     *
     * @param tick The tick.
     * @param row The lease.
     * @return The changed lease.
     */
    LeaseRow read(Tick tick, LeaseRow row) {
        long token = tokens.next();
        tick.emit(new PlatformEffect.Read(token, PlatformPurpose.LEASE, key(row)));
        return row.withCall(new LeaseRow.Call(token, Optional.empty()));
    }

    /**
     * Writes a lease, on the condition that its object has not changed since it was last observed.
     *
     * @param tick The tick.
     * @param row The lease.
     * @param duration The duration of the lease.
     * @param holder The holder, or empty to release the lease.
     * @param base The base of the fencing number, or zero to use the version of this write.
     * @param successors The successors of the holder.
     * @return The changed lease.
     */
    LeaseRow write(
            Tick tick,
            LeaseRow row,
            Duration duration,
            Optional<NodeIdentity> holder,
            long base,
            List<NodeIdentity> successors) {
        LeaseRecord record = new LeaseRecord(holder, base, ++lastWriteNumber, duration, successors);
        OptionalLong expected =
                row.observation().map(LeaseRow.Observation::version).orElseGet(OptionalLong::empty);
        long token = tokens.next();
        tick.emit(new PlatformEffect.Write(token, PlatformPurpose.LEASE, key(row), expected, record.encode()));
        LeaseRow.Attempt attempt = new LeaseRow.Attempt(tick.now(), record);
        return row.withCall(new LeaseRow.Call(token, Optional.of(attempt)));
    }

    /**
     * Returns the nodes that may try to acquire a lease.
     *
     * @param name The lease's name.
     * @return At most two nodes.
     */
    List<NodeIdentity> candidates(LeaseName name) {
        return RendezvousRanking.pair(LeaseSystem.OBJECT_KIND + '/' + name, members.working()).stream()
                .map(Member::identity)
                .toList();
    }

    /**
     * Returns the nodes that succeed this one in order while the platform is unreachable.
     *
     * @param name The lease's name.
     * @return At most two nodes.
     */
    List<NodeIdentity> successors(LeaseName name) {
        List<Member> others = members.working().stream()
                .filter(member -> !member.identity().equals(members.self().identity()))
                .toList();
        return RendezvousRanking.pair(LeaseSystem.OBJECT_KIND + '/' + name, others).stream()
                .map(Member::identity)
                .toList();
    }

    /**
     * Returns the key of the platform's object that stores a lease.
     *
     * @param row The lease.
     * @return The key.
     */
    private static ObjectKey key(LeaseRow row) {
        return new ObjectKey(LeaseSystem.OBJECT_KIND, row.name().value());
    }
}
