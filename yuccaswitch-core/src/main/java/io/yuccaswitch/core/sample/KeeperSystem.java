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

/** Keeps finished groups at two keepers until their trainer has taken them, and passes them on when keepers change. */
final class KeeperSystem implements SampleMessageHandler {

    /** The interval at which keepers compare what they keep. */
    private static final Duration SWEEP_INTERVAL = Duration.ofSeconds(1);

    /** The time for which the driver is left to bring a group to both keepers. */
    private static final Duration DRIVER_PATIENCE = Duration.ofSeconds(2);

    /** The largest number of groups that are sent to one node in a sweep. */
    private static final int MAXIMUM_PER_SWEEP = 64;

    /** The shared tables. */
    private final SampleContext context;

    /** When keepers compare what they keep. */
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
        } else if (message instanceof SampleMessage.Reconcile question) {
            answer(tick, sender, question);
        } else if (message instanceof SampleMessage.Reconciled answer) {
            compared(tick, sender, answer);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void run(Tick tick) {
        if (context.rolesChanged() || sweep.due(tick.now())) {
            compare(tick);
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
     * Says which of some groups this node keeps.
     *
     * @param tick The current tick.
     * @param sender The node that asks.
     * @param question The groups.
     */
    private void answer(Tick tick, NodeIdentity sender, SampleMessage.Reconcile question) {
        List<GroupKey> present = new ArrayList<>();
        List<GroupKey> missing = new ArrayList<>();
        for (GroupKey key : question.keys()) {
            if (context.kept.contains(key)) {
                present.add(key);
            } else if (!context.delivered(key)) {
                missing.add(key);
            }
        }
        String cursor = CursorCodec.encode(context.cursor(question.trainer()).acknowledged());
        context.outbox.send(
                tick, sender.name(), new SampleMessage.Reconciled(question.trainer(), present, missing, cursor));
    }

    /**
     * Asks the other keepers for the groups that they are not known to keep.
     *
     * @param tick The current tick.
     */
    private void compare(Tick tick) {
        Map<TrainerName, List<KeptGroup>> groups = new HashMap<>();
        for (KeptGroup kept : context.kept.rows()) {
            TrainerName trainer = kept.group().key().trainer();
            List<Member> keepers = context.roles.keepers(trainer);
            List<Member> others = context.roles.others(keepers);
            boolean safe = others.stream().allMatch(member -> kept.keptAt().contains(member.identity()));
            if (safe && others.size() == keepers.size() && !keepers.isEmpty()) {
                context.kept.remove(kept.group().key());
            } else if (!safe) {
                groups.computeIfAbsent(trainer, _trainer -> new ArrayList<>()).add(kept);
            }
        }
        groups.forEach((trainer, rows) -> context.roles
                .others(context.roles.keepers(trainer))
                .forEach(member -> ask(tick, member, trainer, rows)));
    }

    /**
     * Asks another keeper for groups that it is not known to keep.
     *
     * @param tick The current tick.
     * @param member The other keeper.
     * @param trainer The trainer.
     * @param rows The groups of the trainer that some keeper is not known to keep.
     */
    private void ask(Tick tick, Member member, TrainerName trainer, List<KeptGroup> rows) {
        List<GroupKey> keys = rows.stream()
                .filter(kept -> !kept.keptAt().contains(member.identity()))
                .map(kept -> kept.group().key())
                .toList();
        if (!keys.isEmpty()) {
            context.outbox.send(tick, member, new SampleMessage.Reconcile(trainer, keys));
        }
    }

    /**
     * Sends another keeper the groups that it lacks.
     *
     * @param tick The current tick.
     * @param sender The other keeper.
     * @param answer What the other keeper has.
     */
    private void compared(Tick tick, NodeIdentity sender, SampleMessage.Reconciled answer) {
        answer.present().forEach(key -> context.kept.update(key, group -> group.withKeptAt(sender)));
        boolean keeper = context.roles.keepers(answer.trainer()).stream()
                .anyMatch(member -> member.identity().equals(sender));
        if (!keeper || sender.equals(context.self())) {
            return;
        }
        answer.missing().stream()
                .flatMap(key -> context.kept.find(key).stream())
                .filter(kept -> tick.now().since(kept.since()).compareTo(DRIVER_PATIENCE) > 0)
                .limit(MAXIMUM_PER_SWEEP)
                .forEach(kept -> context.outbox.send(tick, sender.name(), new SampleMessage.Keep(kept.group())));
    }
}
