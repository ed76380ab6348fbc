package io.yuccaswitch.core.usage;

import io.yuccaswitch.core.decision.DecisionSystem;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.membership.MemberRanking;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.peer.PeerEffect;
import io.yuccaswitch.core.peer.PeerEvent;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * Records the counts of this node and replicates them to two other nodes. If a node is killed, a report lacks at most
 * the requests that it counted since its last replication, about one second.
 */
public final class UsageCountSystem implements DecisionSystem {

    /** The number of nodes that keep the counts of a node. One of two survives most failures that occur together. */
    private static final int KEEPER_COUNT = 2;

    /** The nodes of the site. */
    private final MembershipView membership;

    /** The nodes that keep the counts of this one. */
    private final MemberRanking keepers;

    /** The counts that this node has. */
    private final UsageCounts counts;

    /** The windows. */
    private final UsageWindows windows;

    /** The clock, in milliseconds since the epoch. */
    private final LongSupplier timeOfDay;

    /**
     * Creates a system that has counted nothing.
     *
     * @param membership The nodes of the site.
     * @param counts The counts that this node has.
     * @param windows The windows.
     * @param timeOfDay The clock, in milliseconds since the epoch.
     */
    public UsageCountSystem(
            MembershipView membership, UsageCounts counts, UsageWindows windows, LongSupplier timeOfDay) {
        this.membership = membership;
        this.counts = counts;
        this.windows = windows;
        this.timeOfDay = timeOfDay;
        keepers = new MemberRanking(membership.self().identity().name().value(), membership);
    }

    @Override
    public void run(Tick tick) {
        tick.events(UsageEvent.Counted.class).forEach(counted -> recordCounts(tick, counted));
        for (PeerEvent.Received received : tick.events(PeerEvent.Received.class)) {
            if (received.message() instanceof UsageMessage.ReplicateCounts increased) {
                increased.rows().forEach(counts::merge);
            } else if (received.message() instanceof UsageMessage.RequestCounts ask) {
                tick.emit(new PeerEffect.Send(
                        received.sender().name(), new UsageMessage.Counts(ask.window(), counts.rows(ask.window()))));
            }
        }
        counts.evictBefore(windows.oldestRetained(timeOfDay.getAsLong()));
    }

    /**
     * Records counts of this node and replicates them to its keepers.
     *
     * @param tick The tick.
     * @param counted The counts that have increased.
     */
    private void recordCounts(Tick tick, UsageEvent.Counted counted) {
        List<UsageRow> rows = new ArrayList<>();
        counted.counts()
                .forEach((window, increased) ->
                        rows.add(new UsageRow(membership.self().identity(), window, increased)));
        rows.forEach(counts::merge);
        keepers.members().stream()
                .filter(member -> !member.equals(membership.self()))
                .limit(KEEPER_COUNT)
                .forEach(member -> tick.emit(
                        new PeerEffect.Send(member.identity().name(), new UsageMessage.ReplicateCounts(rows))));
    }
}
