package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.TrainerName;
import io.yuccaswitch.core.membership.Member;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Stores finished groups at two keepers until their trainer has acknowledged them, and transfers them when the keepers
 * change.
 */
final class KeeperSystem implements SampleMessageHandler {

    /** The interval at which keepers reconcile the groups that they keep. */
    private static final Duration SWEEP_INTERVAL = Duration.ofSeconds(1);

    /**
     * The time within which the driver of a group is expected to send it to both keepers. Only later does a keeper send
     * it to the other one.
     */
    private static final Duration DRIVER_REPLICATION_TIMEOUT = Duration.ofSeconds(2);

    /** The maximum number of groups that are sent to one node in a sweep. */
    private static final int MAXIMUM_GROUPS_PER_SWEEP = 64;

    /** The shared tables. */
    private final SampleContext context;

    /** The schedule at which keepers reconcile the groups that they keep. */
    private final Interval sweep = new Interval(SWEEP_INTERVAL);

    /**
     * Creates a new system.
     *
     * @param context The shared tables.
     */
    KeeperSystem(SampleContext context) {
        this.context = context;
    }

    /** {@inheritDoc} */
    @Override
    public void receive(Tick tick, NodeIdentity sender, SampleMessage message) {
        if (message instanceof SampleMessage.Keep keep) {
            keep(tick, sender, keep.group());
        } else if (message instanceof SampleMessage.Kept kept) {
            context.kept.update(kept.key(), group -> group.withKeptAt(sender));
        } else if (message instanceof SampleMessage.Reconcile query) {
            answer(tick, sender, query);
        } else if (message instanceof SampleMessage.Reconciled answer) {
            reconciled(tick, sender, answer);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void run(Tick tick) {
        if (context.rolesChanged() || sweep.due(tick.now())) {
            reconcile(tick);
        }
    }

    /**
     * Keeps a finished group.
     *
     * @param tick The current tick.
     * @param sender The node that sent the group.
     * @param group The group.
     */
    private void keep(Tick tick, NodeIdentity sender, FinishedGroup group) {
        boolean newer = context.kept
                .find(group.key())
                .map(kept -> kept.group().run() < group.run())
                .orElse(true);
        if (newer && !context.delivered(group.key())) {
            context.kept.put(group.key(), new KeptGroup(group, tick.now(), Set.of()));
        }
        context.outbox.send(tick, sender.name(), new SampleMessage.Kept(group.key()));
    }

    /**
     * Answers which of the queried groups this node keeps.
     *
     * @param tick The current tick.
     * @param sender The node that sent the query.
     * @param query The query.
     */
    private void answer(Tick tick, NodeIdentity sender, SampleMessage.Reconcile query) {
        List<GroupKey> present = new ArrayList<>();
        List<GroupKey> missing = new ArrayList<>();
        for (GroupKey key : query.keys()) {
            if (context.kept.contains(key)) {
                present.add(key);
            } else if (!context.delivered(key)) {
                missing.add(key);
            }
        }
        String cursor = CursorCodec.encode(context.cursor(query.trainer()).acknowledged());
        context.outbox.send(
                tick, sender.name(), new SampleMessage.Reconciled(query.trainer(), present, missing, cursor));
    }

    /**
     * Queries the other keepers for the groups that they have not confirmed, and removes confirmed groups that this
     * node need no longer keep.
     *
     * @param tick The current tick.
     */
    private void reconcile(Tick tick) {
        Map<TrainerName, List<KeptGroup>> groups = new HashMap<>();
        for (KeptGroup kept : context.kept.rows()) {
            TrainerName trainer = kept.group().key().trainer();
            List<Member> keepers = context.roles.keepers(trainer);
            List<Member> others = context.roles.others(keepers);
            boolean confirmedByOthers =
                    others.stream().allMatch(member -> kept.keptAt().contains(member.identity()));
            if (confirmedByOthers && others.size() == keepers.size() && !keepers.isEmpty()) {
                context.kept.remove(kept.group().key());
            } else if (!confirmedByOthers) {
                groups.computeIfAbsent(trainer, _trainer -> new ArrayList<>()).add(kept);
            }
        }
        groups.forEach((trainer, rows) -> context.roles
                .others(context.roles.keepers(trainer))
                .forEach(member -> queryKeeper(tick, member, trainer, rows)));
    }

    /**
     * Queries another keeper for groups that it has not confirmed.
     *
     * @param tick The current tick.
     * @param member The other node.
     * @param trainer The trainer.
     * @param rows The groups of the trainer that at least one keeper has not confirmed.
     */
    private void queryKeeper(Tick tick, Member member, TrainerName trainer, List<KeptGroup> rows) {
        List<GroupKey> keys = rows.stream()
                .filter(kept -> !kept.keptAt().contains(member.identity()))
                .map(kept -> kept.group().key())
                .toList();
        if (!keys.isEmpty()) {
            context.outbox.send(tick, member, new SampleMessage.Reconcile(trainer, keys));
        }
    }

    /**
     * Records the groups that another node keeps, and sends it the missing ones if it is a keeper.
     *
     * @param tick The current tick.
     * @param sender The other node.
     * @param answer The answer of the other node.
     */
    private void reconciled(Tick tick, NodeIdentity sender, SampleMessage.Reconciled answer) {
        answer.present().forEach(key -> context.kept.update(key, group -> group.withKeptAt(sender)));
        boolean keeper = context.roles.keepers(answer.trainer()).stream()
                .anyMatch(member -> member.identity().equals(sender));
        if (!keeper || sender.equals(context.self())) {
            return;
        }
        answer.missing().stream()
                .flatMap(key -> context.kept.find(key).stream())
                .filter(kept -> tick.now().since(kept.since()).compareTo(DRIVER_REPLICATION_TIMEOUT) > 0)
                .limit(MAXIMUM_GROUPS_PER_SWEEP)
                .forEach(kept -> context.outbox.send(tick, sender.name(), new SampleMessage.Keep(kept.group())));
    }
}
