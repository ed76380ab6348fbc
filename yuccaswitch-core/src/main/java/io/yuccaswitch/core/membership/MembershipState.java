package io.yuccaswitch.core.membership;

import io.yuccaswitch.core.configuration.ConfigurationView;
import io.yuccaswitch.core.configuration.MembershipSettings;
import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.identity.NodeName;

/**
 * What the systems of the membership share.
 *
 * @param options The times and bounds that need no tuning.
 * @param configuration The configuration of this node.
 * @param table The table of members.
 * @param news The changes to tell others.
 * @param timers The timers of suspected and dead members.
 * @param merge Takes beliefs into the table.
 * @param health How far this node trusts its own view.
 * @param platform When the platform last answered any node.
 * @param reports What other nodes last said of themselves.
 * @param counters The counters.
 * @param initialSettings The settings until a configuration is in force.
 */
record MembershipState(
        MembershipOptions options,
        ConfigurationView configuration,
        MemberTable table,
        NewsQueue news,
        MemberTimers timers,
        MemberMerge merge,
        SelfHealth health,
        PlatformSilence platform,
        EntityTable<NodeName, PeerReport> reports,
        MembershipCounters counters,
        MembershipSettings initialSettings) {

    /**
     * Creates the state of a node that knows only itself.
     *
     * @param self This node.
     * @param configuration The configuration of this node.
     * @param options The times and bounds that need no tuning.
     * @param initialSettings The settings until a configuration is in force.
     * @return The state.
     */
    static MembershipState of(
            Member self,
            ConfigurationView configuration,
            MembershipOptions options,
            MembershipSettings initialSettings) {
        MemberTable table = new MemberTable(new MemberRow(self, 0));
        NewsQueue news = new NewsQueue();
        MemberTimers timers = new MemberTimers();
        MembershipCounters counters = new MembershipCounters();
        SelfHealth health = new SelfHealth(options.doubtTime());
        return new MembershipState(
                options,
                configuration,
                table,
                news,
                timers,
                new MemberMerge(table, news, timers, counters),
                health,
                new PlatformSilence(table, health),
                new EntityTable<>(),
                counters,
                initialSettings);
    }

    /**
     * Returns the settings in force.
     *
     * @return The settings in force.
     */
    MembershipSettings settings() {
        return configuration.inForce().map(fleet -> fleet.membership()).orElse(initialSettings);
    }
}
