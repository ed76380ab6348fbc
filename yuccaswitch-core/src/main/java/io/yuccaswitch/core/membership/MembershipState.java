package io.yuccaswitch.core.membership;

import io.yuccaswitch.core.configuration.ConfigurationView;
import io.yuccaswitch.core.configuration.MembershipSettings;
import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.identity.NodeName;

/**
 * The state that the systems of the membership share.
 *
 * @param options The timing and limits of the protocol.
 * @param configuration The configuration of this node.
 * @param table The table of members.
 * @param changeQueue The changes to disseminate.
 * @param timers The timers of suspected and dead members.
 * @param merge Merges rows into the table.
 * @param health The health of this node.
 * @param platform Tracks when the platform last answered any node.
 * @param reports The latest reports of other nodes about themselves.
 * @param counters The counters.
 * @param initialSettings The settings until a configuration is active.
 */
record MembershipState(
        MembershipOptions options,
        ConfigurationView configuration,
        MemberTable table,
        ChangeQueue changeQueue,
        MemberTimers timers,
        MemberMerge merge,
        SelfHealth health,
        PlatformContactTracker platform,
        EntityTable<NodeName, PeerReport> reports,
        MembershipCounters counters,
        MembershipSettings initialSettings) {

    /**
     * Creates the state of a node whose table contains only itself.
     *
     * @param self This node.
     * @param configuration The configuration of this node.
     * @param options The timing and limits of the protocol.
     * @param initialSettings The settings until a configuration is active.
     * @return The state.
     */
    static MembershipState of(
            Member self,
            ConfigurationView configuration,
            MembershipOptions options,
            MembershipSettings initialSettings) {
        MemberTable table = new MemberTable(new MemberRow(self, 0));
        ChangeQueue changeQueue = new ChangeQueue();
        MemberTimers timers = new MemberTimers();
        MembershipCounters counters = new MembershipCounters();
        SelfHealth health = new SelfHealth(options.recoveryTimeout());
        return new MembershipState(
                options,
                configuration,
                table,
                changeQueue,
                timers,
                new MemberMerge(table, changeQueue, timers, counters),
                health,
                new PlatformContactTracker(table, health),
                new EntityTable<>(),
                counters,
                initialSettings);
    }

    /**
     * Returns the active settings.
     *
     * @return The active settings.
     */
    MembershipSettings settings() {
        return configuration.active().map(fleet -> fleet.membership()).orElse(initialSettings);
    }
}
