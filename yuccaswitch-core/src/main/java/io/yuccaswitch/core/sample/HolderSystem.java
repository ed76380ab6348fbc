package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.configuration.TrainerSettings;
import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.TrainerName;
import io.yuccaswitch.core.membership.Member;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Holds accepted groups at their driver and backup until their trainer has acknowledged them, and transfers them when
 * members join or leave. All messages are repeated until they are confirmed, so the loss of any single message is
 * harmless.
 */
final class HolderSystem implements SampleMessageHandler {

    /** The interval at which unconfirmed groups are sent again. */
    private static final Duration SWEEP_INTERVAL = Duration.ofMillis(500);

    /** The interval at which keepers are queried for the groups that they should keep. */
    private static final Duration RECONCILE_INTERVAL = Duration.ofSeconds(3);

    /** The time for which a single keeper may lack a group before the group is run again. */
    private static final Duration MISSING_GROUP_TIMEOUT = Duration.ofSeconds(15);

    /** The maximum number of groups that are sent in one sweep. */
    private static final int MAXIMUM_GROUPS_PER_SWEEP = 64;

    /**
     * The time after which a trainer should resubmit a group that was refused because of the limit of groups in
     * progress.
     */
    private static final long RETRY_DELAY_MILLIS = 1000;

    /** The shared tables. */
    private final SampleContext context;

    /** The requests in progress. */
    private final SampleRequestTable sampleRequests;

    /** The schedule at which unconfirmed groups are sent again. */
    private final Interval sweep = new Interval(SWEEP_INTERVAL);

    /** The schedule at which keepers are queried. */
    private final Interval reconcile = new Interval(RECONCILE_INTERVAL);

    /** The number of groups that may still be sent in the current sweep. */
    private int remainingGroups;

    /**
     * Creates a new system.
     *
     * @param context The shared tables.
     * @param sampleRequests The requests in progress.
     */
    HolderSystem(SampleContext context, SampleRequestTable sampleRequests) {
        this.context = context;
        this.sampleRequests = sampleRequests;
    }

    /** {@inheritDoc} */
    @Override
    public void receive(Tick tick, NodeIdentity sender, SampleMessage message) {
        if (message instanceof SampleMessage.Store store) {
            store(tick, sender, store);
        } else if (message instanceof SampleMessage.Stored stored) {
            context.held.update(stored.key(), group -> group.withStoredAt(sender));
        } else if (message instanceof SampleMessage.Kept kept) {
            context.held.update(kept.key(), group -> group.withKeptAt(sender));
            context.held.find(kept.key()).ifPresent(this::releaseIfKept);
        } else if (message instanceof SampleMessage.Reconciled answer) {
            answer.present().forEach(key -> reconciled(tick, sender, key, false));
            answer.missing().forEach(key -> reconciled(tick, sender, key, true));
        } else if (message instanceof SampleMessage.Discarded discarded) {
            discarded(tick, discarded);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void run(Tick tick) {
        boolean rolesChanged = context.rolesChanged();
        if (rolesChanged || sweep.due(tick.now())) {
            remainingGroups = MAXIMUM_GROUPS_PER_SWEEP;
            context.held.rows().forEach(group -> sweep(tick, group));
        }
        if (rolesChanged || reconcile.due(tick.now())) {
            queryKeepers(tick);
        }
    }

    /**
     * Sends a finished group to its keepers.
     *
     * @param tick The current tick.
     * @param group The group.
     */
    void sendFinished(Tick tick, HeldGroup group) {
        group.finished().ifPresent(finished -> {
            for (Member keeper : context.roles.keepers(group.key().trainer())) {
                if (!group.keptAt().contains(keeper.identity())) {
                    context.outbox.send(tick, keeper, new SampleMessage.Keep(finished));
                }
            }
        });
    }

    /**
     * Stores a group, or refuses to hold it.
     *
     * @param tick The current tick.
     * @param sender The node that sent the group.
     * @param message The message with the group.
     */
    private void store(Tick tick, NodeIdentity sender, SampleMessage.Store message) {
        GroupKey key = message.specification().key();
        CursorState cursor = context.cursor(key.trainer());
        boolean drives = context.roles.drives(key);
        if (key.step() < cursor.acknowledged().floorStep()) {
            context.outbox.send(tick, sender.name(), new SampleMessage.StoreRefused(key, "step-closed", 0));
            return;
        }
        if (!context.held.contains(key) && !context.delivered(key)) {
            if (message.submitted() && drives && isAtLimit(key.trainer())) {
                context.outbox.send(
                        tick,
                        sender.name(),
                        new SampleMessage.StoreRefused(key, "groups-in-progress", RETRY_DELAY_MILLIS));
                return;
            }
            context.held.put(key, HeldGroup.of(message.specification(), initialStage(message, drives), tick.now()));
        }
        if (!message.submitted()) {
            context.held.update(key, group -> group.withStoredAt(sender));
        }
        context.outbox.send(tick, sender.name(), new SampleMessage.Stored(key));
    }

    /**
     * Returns the initial stage of a group that this node begins to hold.
     *
     * @param message The message with the group.
     * @param drives {@code true} if this node is the group's driver.
     * @return The stage.
     */
    private static HeldGroup.Stage initialStage(SampleMessage.Store message, boolean drives) {
        if (!drives) {
            return HeldGroup.Stage.BACKUP;
        }
        return message.submitted() ? HeldGroup.Stage.RUNNING : HeldGroup.Stage.CHECKING;
    }

    /**
     * Returns whether this node drives the maximum number of groups of a trainer, which is its share of the trainer's
     * limit.
     *
     * @param trainer The trainer.
     * @return {@code true} if no further group may be accepted.
     */
    private boolean isAtLimit(TrainerName trainer) {
        int limit =
                context.trainer(trainer).map(TrainerSettings::groupsInProgress).orElse(0);
        long driven = context.held.view().stream()
                .filter(group -> group.key().trainer().equals(trainer))
                .filter(group -> group.stage() != HeldGroup.Stage.BACKUP)
                .count();
        return driven >= Math.max(1, limit / Math.max(1, context.roles.working().size()));
    }

    /**
     * Sends a group to the nodes that should have it and have not confirmed it, and removes the group if this node need
     * no longer hold it.
     *
     * @param tick The current tick.
     * @param group The group.
     */
    private void sweep(Tick tick, HeldGroup group) {
        List<Member> pair = context.roles.holders(group.key());
        HeldGroup changed = updateStage(tick, group);
        List<Member> unconfirmed = context.roles.others(pair).stream()
                .filter(member -> !changed.storedAt().contains(member.identity()))
                .toList();
        for (Member member : unconfirmed) {
            if (remainingGroups-- > 0) {
                context.outbox.send(tick, member, new SampleMessage.Store(changed.specification(), false));
            }
        }
        if (changed.stage() == HeldGroup.Stage.FINISHED && remainingGroups-- > 0) {
            sendFinished(tick, changed);
            releaseIfKept(changed);
        }
        boolean inPair = context.roles.others(pair).size() < pair.size();
        boolean idle = changed.stage() == HeldGroup.Stage.BACKUP || changed.stage() == HeldGroup.Stage.KEPT;
        if (!inPair && idle && unconfirmed.isEmpty() && !pair.isEmpty()) {
            context.held.remove(group.key());
        }
    }

    /**
     * Takes over a group whose driver is gone, or becomes the backup of a group whose generation has not started if
     * another node drives it now.
     *
     * @param tick The current tick.
     * @param group The group.
     * @return The group with its updated stage.
     */
    private HeldGroup updateStage(Tick tick, HeldGroup group) {
        boolean drives = context.roles.drives(group.key());
        HeldGroup changed = group;
        if (drives && group.stage() == HeldGroup.Stage.BACKUP) {
            tick.decide(Decision.of(
                    "drive", group.key().toString(), context.self().toString(), "the previous driver is gone"));
            changed = group.withStage(HeldGroup.Stage.CHECKING);
        } else if (!drives && group.stage() == HeldGroup.Stage.CHECKING) {
            changed = group.withStage(HeldGroup.Stage.BACKUP);
        } else if (!drives && group.stage() == HeldGroup.Stage.RUNNING && !group.hasStarted()) {
            changed = group.withStage(HeldGroup.Stage.BACKUP);
        }
        context.held.put(group.key(), changed);
        return changed;
    }

    /**
     * Drops the finished samples of a group that all of its keepers have confirmed.
     *
     * @param group The group.
     */
    private void releaseIfKept(HeldGroup group) {
        Set<NodeIdentity> keepers = context.roles.keepers(group.key().trainer()).stream()
                .map(Member::identity)
                .collect(Collectors.toSet());
        if (group.stage() == HeldGroup.Stage.FINISHED
                && !keepers.isEmpty()
                && group.keptAt().containsAll(keepers)) {
            context.held.put(group.key(), group.withKept());
        }
    }

    /**
     * Queries the keepers for the groups that they should keep.
     *
     * @param tick The current tick.
     */
    private void queryKeepers(Tick tick) {
        Map<TrainerName, List<GroupKey>> keys = new HashMap<>();
        for (HeldGroup group : context.held.view()) {
            if (group.stage() == HeldGroup.Stage.KEPT || group.stage() == HeldGroup.Stage.CHECKING) {
                keys.computeIfAbsent(group.key().trainer(), _trainer -> new ArrayList<>())
                        .add(group.key());
            }
        }
        keys.forEach((trainer, groups) -> context.roles
                .keepers(trainer)
                .forEach(keeper -> context.outbox.send(tick, keeper, new SampleMessage.Reconcile(trainer, groups))));
    }

    /**
     * Applies a keeper's report of whether it keeps a group.
     *
     * @param tick The current tick.
     * @param keeper The keeper.
     * @param key The identity of the group.
     * @param missing {@code true} if the keeper does not keep the group.
     */
    private void reconciled(Tick tick, NodeIdentity keeper, GroupKey key, boolean missing) {
        Optional<HeldGroup> found = context.held
                .find(key)
                .filter(group -> group.stage() == HeldGroup.Stage.KEPT || group.stage() == HeldGroup.Stage.CHECKING);
        if (found.isEmpty()) {
            return;
        }
        HeldGroup group = found.get().withMissing(keeper.name(), missing, tick.now());
        context.held.put(key, group);
        boolean missingEverywhere = context.roles.keepers(key.trainer()).stream()
                .allMatch(member -> group.missingAt().contains(member.identity().name()));
        boolean checking = group.stage() == HeldGroup.Stage.CHECKING;
        if (checking && missingEverywhere) {
            context.held.put(key, group.withStage(HeldGroup.Stage.RUNNING));
        } else if (checking && !missing) {
            context.held.put(key, group.withKept());
        } else if (!checking && (missingEverywhere || isOverdue(tick, group))) {
            runAgain(tick, group, DiscardReason.KEEPERS_LOST);
        }
    }

    /**
     * Returns whether a keeper has lacked a group for longer than {@link #MISSING_GROUP_TIMEOUT}.
     *
     * @param tick The current tick.
     * @param group The group.
     * @return {@code true} if the group should be run again.
     */
    private static boolean isOverdue(Tick tick, HeldGroup group) {
        return !group.missingAt().isEmpty()
                && tick.now().since(group.missingSince()).compareTo(MISSING_GROUP_TIMEOUT) > 0;
    }

    /**
     * Applies a keeper's report that it discarded a group.
     *
     * @param tick The current tick.
     * @param message The report.
     */
    private void discarded(Tick tick, SampleMessage.Discarded message) {
        context.held
                .find(message.key())
                .filter(group -> group.run() == message.run())
                .filter(group -> group.stage() == HeldGroup.Stage.KEPT || group.stage() == HeldGroup.Stage.FINISHED)
                .ifPresent(group -> runAgain(tick, group, DiscardReason.STALE));
    }

    /**
     * Starts another run of a group.
     *
     * @param tick The current tick.
     * @param group The group.
     * @param reason The reason.
     */
    private void runAgain(Tick tick, HeldGroup group, DiscardReason reason) {
        tick.decide(Decision.of("run-again", group.key().toString(), "run " + (group.run() + 1), reason.code()));
        sampleRequests.cancel(group.key());
        context.held.put(group.key(), group.withNextRun());
    }
}
