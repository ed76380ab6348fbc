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
 * Takes what this node counts, and has two others keep it: a node that is killed takes at most what it counted since it
 * last told them, about a second, out of a report.
 */
public final class UsageCountSystem implements DecisionSystem {

    /** The number of nodes that keep the counts of another one. Of two, one outlives most losses that come together. */
    private static final int KEEPERS = 2;

    /** The nodes of the site. */
    private final MembershipView membership;

    /** The nodes that keep the counts of this one. */
    private final MemberRanking keepers;

    /** The counts that this node knows. */
    private final UsageCounts counts;

    /** The windows. */
    private final UsageWindows windows;

    /** Tells the time of day. */
    private final LongSupplier timeOfDay;

    /**
     * Creates a system that has counted nothing.
     *
     * @param membership The nodes of the site.
     * @param counts The counts that this node knows.
     * @param windows The windows.
     * @param timeOfDay Tells the time of day, in milliseconds since the epoch.
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
        tick.events(UsageEvent.Counted.class).forEach(counted -> take(tick, counted));
        for (PeerEvent.Received received : tick.events(PeerEvent.Received.class)) {
            if (received.message() instanceof UsageMessage.Grown grown) {
                grown.rows().forEach(counts::take);
            } else if (received.message() instanceof UsageMessage.Ask ask) {
                tick.emit(new PeerEffect.Send(
                        received.sender().name(), new UsageMessage.Known(ask.window(), counts.rows(ask.window()))));
            }
        }
        counts.forgetBefore(windows.oldestKept(timeOfDay.getAsLong()));
    }

    /**
     * Takes counts of this node, and hands them on.
     *
     * @param tick The tick.
     * @param counted The counts that have grown.
     */
    private void take(Tick tick, UsageEvent.Counted counted) {
        List<UsageRow> rows = new ArrayList<>();
        counted.counts()
                .forEach((window, grown) ->
                        rows.add(new UsageRow(membership.self().identity(), window, grown)));
        rows.forEach(counts::take);
        keepers.members().stream()
                .filter(member -> !member.equals(membership.self()))
                .limit(KEEPERS)
                .forEach(member ->
                        tick.emit(new PeerEffect.Send(member.identity().name(), new UsageMessage.Grown(rows))));
    }
}
