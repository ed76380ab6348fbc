package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.configuration.ConfigurationEvent;
import io.yuccaswitch.core.configuration.FleetConfiguration;
import io.yuccaswitch.core.configuration.PoolSettings;
import io.yuccaswitch.core.configuration.TrainerSettings;
import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.identity.TrainerName;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.membership.MembershipView;
import io.yuccaswitch.core.platform.PlatformTokens;
import io.yuccaswitch.core.weight.WeightEvent;
import java.util.List;
import java.util.Optional;

/** The tables that the systems of this package share, and their view of the rest of the node. */
final class SampleContext {

    /** The members. */
    final MembershipView membership;

    /** Assigns drivers, backups and keepers. */
    final RoleTable roles;

    /** Sends messages. */
    final Outbox outbox;

    /** Allocates the tokens of calls to the platform. */
    final PlatformTokens tokens;

    /** The groups that this node holds as driver or backup. */
    final EntityTable<GroupKey, HeldGroup> held = new EntityTable<>();

    /** The finished groups that this node keeps. */
    final EntityTable<GroupKey, KeptGroup> kept = new EntityTable<>();

    /** The state of trainers' cursors at this node. */
    final EntityTable<TrainerName, CursorState> cursors = new EntityTable<>();

    /** The latest weight versions and capacities that engines reported. */
    final VersionReadings readings = new VersionReadings();

    /** The counters of samples by trainer. */
    final SampleStatistics statistics = new SampleStatistics();

    /** Whether the members that take work changed since the previous tick. */
    private boolean rolesChanged;

    /** The active configuration, or empty before the first one. */
    private Optional<FleetConfiguration> configuration = Optional.empty();

    /**
     * Creates a new context.
     *
     * @param membership The members.
     * @param tokens Allocates the tokens of calls to the platform.
     */
    SampleContext(MembershipView membership, PlatformTokens tokens) {
        this.membership = membership;
        this.tokens = tokens;
        roles = new RoleTable(membership);
        outbox = new Outbox(membership);
    }

    /**
     * Applies the tick's events about configuration, publications, engine reports and members.
     *
     * @param tick The current tick.
     */
    void observe(Tick tick) {
        for (ConfigurationEvent.Activated event : tick.events(ConfigurationEvent.Activated.class)) {
            configuration = Optional.of(event.configuration());
        }
        for (WeightEvent.Published event : tick.events(WeightEvent.Published.class)) {
            CursorState state = cursor(event.trainer());
            cursors.put(event.trainer(), state.withProgress(state.progress().withPublished(event.version())));
        }
        readings.observe(tick);
        rolesChanged = roles.refresh();
    }

    /**
     * Returns whether the members that take work changed since the previous tick.
     *
     * @return {@code true} if they changed.
     */
    boolean rolesChanged() {
        return rolesChanged;
    }

    /**
     * Returns this node.
     *
     * @return This node's name and incarnation.
     */
    NodeIdentity self() {
        return membership.self().identity();
    }

    /**
     * Returns whether a configuration is active.
     *
     * @return {@code true} if a configuration is active.
     */
    boolean isConfigured() {
        return configuration.isPresent();
    }

    /**
     * Finds the settings of a trainer.
     *
     * @param trainer The trainer.
     * @return The settings, or empty if the trainer is not configured.
     */
    Optional<TrainerSettings> trainer(TrainerName trainer) {
        return configuration.map(current -> current.trainers().get(trainer));
    }

    /**
     * Finds the settings of a pool.
     *
     * @param pool The pool.
     * @return The settings, or empty if the pool is not configured.
     */
    Optional<PoolSettings> pool(PoolName pool) {
        return configuration.map(current -> current.pools().get(pool));
    }

    /**
     * Returns whether the members of a pair are in two availability zones, or the site has only one.
     *
     * @param pair The members of the pair.
     * @return {@code true} if the data of the pair survives the loss of an availability zone, as far as the site
     *     allows.
     */
    boolean inTwoZones(List<Member> pair) {
        return hasSingleZone()
                || (pair.size() == 2
                        && !pair.get(0).availabilityZone().equals(pair.get(1).availabilityZone()));
    }

    /**
     * Returns whether the site has a single availability zone, so that no second one can hold a copy.
     *
     * @return {@code true} if the active configuration contains at most one availability zone.
     */
    private boolean hasSingleZone() {
        return configuration
                .map(current -> current.availabilityZones().size() <= 1)
                .orElse(false);
    }

    /**
     * Returns the state of a trainer's cursor at this node.
     *
     * @param trainer The trainer.
     * @return The state.
     */
    CursorState cursor(TrainerName trainer) {
        return cursors.find(trainer).orElseGet(() -> CursorState.unknown(trainer));
    }

    /**
     * Returns whether a group is recorded as delivered.
     *
     * @param key The identity of the group.
     * @return {@code true} if the recorded cursor of the trainer contains the group.
     */
    boolean delivered(GroupKey key) {
        return cursors.find(key.trainer())
                .map(state -> state.acknowledged().contains(key))
                .orElse(false);
    }
}
