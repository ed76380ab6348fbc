package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.EntityTable;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.membership.Member;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Takes groups from trainers. A group is accepted once its driver and its backup, in two availability zones, have both
 * said that they hold it. The driver is asked first, such that its refusal means that no node has the group.
 */
final class SubmissionSystem implements SampleMessageHandler {

    /** The time after which an unanswered message is sent again. */
    private static final Duration RESEND_AFTER = Duration.ofMillis(300);

    /** The time in which a group must be safe. */
    private static final Duration PATIENCE = Duration.ofSeconds(5);

    /** The time after which a trainer should submit again what could not be made safe. */
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    /** The shared tables. */
    private final SampleContext context;

    /** The groups that are not decided yet. */
    private final EntityTable<PendingKey, Pending> pending = new EntityTable<>();

    /** The submissions that are not answered yet. */
    private final EntityTable<Long, Submission> submissions = new EntityTable<>();

    /**
     * Creates a new system.
     *
     * @param context The shared tables.
     */
    SubmissionSystem(SampleContext context) {
        this.context = context;
    }

    /** {@inheritDoc} */
    @Override
    public void receive(Tick tick, NodeIdentity sender, SampleMessage message) {
        if (message instanceof SampleMessage.Stored stored) {
            for (Pending row : pendingOf(stored.key())) {
                Pending changed = row.withStoredAt(sender);
                pending.put(row.key(), changed);
                advance(tick, changed);
            }
        } else if (message instanceof SampleMessage.StoreRefused refused) {
            for (Pending row : pendingOf(refused.key())) {
                boolean nowhereElse =
                        row.storedAt().isEmpty() && Set.of(sender.name()).containsAll(row.sentTo());
                refuse(tick, row, refused.code(), nowhereElse, retryAfter(refused.retryAfterMillis()));
            }
        }
    }

    /** {@inheritDoc} */
    @Override
    public void run(Tick tick) {
        for (SampleEvent.Submitted event : tick.events(SampleEvent.Submitted.class)) {
            begin(tick, event);
        }
        for (Pending row : pending.rows()) {
            advance(tick, row);
        }
    }

    /**
     * Begins to make the groups of a submission safe.
     *
     * @param tick The current tick.
     * @param event The submission.
     */
    private void begin(Tick tick, SampleEvent.Submitted event) {
        Set<GroupKey> keys = new HashSet<>();
        List<Pending> rows = new ArrayList<>();
        for (GroupSpecification group : event.groups()) {
            if (keys.add(group.key())) {
                PendingKey key = new PendingKey(event.token(), group.key());
                rows.add(new Pending(key, group, tick.now().plus(PATIENCE), Set.of(), Set.of(), Optional.empty()));
            }
        }
        submissions.put(event.token(), new Submission(event.token(), keys.size(), List.of(), List.of()));
        if (rows.isEmpty()) {
            conclude(tick, event.token());
        }
        for (Pending row : rows) {
            pending.put(row.key(), row);
            check(tick, row);
        }
    }

    /**
     * Refuses a group at once if it can never be taken.
     *
     * @param tick The current tick.
     * @param row The group.
     */
    private void check(Tick tick, Pending row) {
        if (context.trainer(row.group().key().trainer()).isEmpty()) {
            refuse(tick, row, "trainer-unknown", true, Optional.empty());
        } else if (!row.group().fitsMessage()) {
            refuse(tick, row, "group-too-large", true, Optional.empty());
        }
    }

    /**
     * Does the next thing to make a group safe.
     *
     * @param tick The current tick.
     * @param row The group.
     */
    private void advance(Tick tick, Pending row) {
        if (!pending.contains(row.key())) {
            return;
        }
        List<Member> pair = context.roles.holders(row.group().key());
        if (!inTwoZones(pair)) {
            refuse(tick, row, "no-second-zone", row.sentTo().isEmpty(), Optional.of(RETRY_AFTER));
            return;
        }
        Optional<Member> missing = pair.stream()
                .filter(member -> !row.storedAt().contains(member.identity()))
                .findFirst();
        if (missing.isEmpty()) {
            accept(tick, row);
        } else if (row.deadline().isBefore(tick.now())) {
            refuse(tick, row, "holders-unreachable", row.sentTo().isEmpty(), Optional.of(RETRY_AFTER));
        } else if (row.due(missing.get(), tick.now())) {
            NodeName target = missing.get().identity().name();
            pending.put(row.key(), row.withSent(target, tick.now()));
            context.outbox.send(tick, target, new SampleMessage.Store(row.group(), true));
        }
    }

    /**
     * Returns whether a pair lies in two availability zones, or the site has only one.
     *
     * @param pair The driver and the backup.
     * @return {@code true} if groups may be accepted on this pair.
     */
    private boolean inTwoZones(List<Member> pair) {
        return context.singleZone()
                || (pair.size() == 2
                        && !pair.get(0).availabilityZone().equals(pair.get(1).availabilityZone()));
    }

    /**
     * Accepts a group.
     *
     * @param tick The current tick.
     * @param row The group.
     */
    private void accept(Tick tick, Pending row) {
        pending.remove(row.key());
        submissions.update(
                row.key().token(),
                submission -> submission.withAccepted(row.group().key()));
        conclude(tick, row.key().token());
    }

    /**
     * Refuses a group.
     *
     * @param tick The current tick.
     * @param row The group.
     * @param code The code of the reason.
     * @param surelyNotRun {@code true} if no node took the group.
     * @param retryAfter The time after which it is worth to ask again, or empty if it never is.
     */
    private void refuse(Tick tick, Pending row, String code, boolean surelyNotRun, Optional<Duration> retryAfter) {
        GroupKey key = row.group().key();
        pending.remove(row.key());
        tick.decide(Decision.of("submit", key.toString(), Decision.NO_CHOICE, code));
        SampleEffect.RefusedGroup refused = new SampleEffect.RefusedGroup(key, code, surelyNotRun, retryAfter);
        submissions.update(row.key().token(), submission -> submission.withRefused(refused));
        conclude(tick, row.key().token());
    }

    /**
     * Answers a submission if all of its groups are decided.
     *
     * @param tick The current tick.
     * @param token The token of the submission.
     */
    private void conclude(Tick tick, long token) {
        submissions.find(token).filter(Submission::decided).ifPresent(submission -> {
            submissions.remove(token);
            tick.emit(new SampleEffect.AnswerSubmission(token, submission.accepted(), submission.refused()));
        });
    }

    /**
     * Finds the undecided rows of a group.
     *
     * @param key The identity of the group.
     * @return The rows, one for each submission that named the group.
     */
    private List<Pending> pendingOf(GroupKey key) {
        return pending.view().stream()
                .filter(row -> row.key().group().equals(key))
                .toList();
    }

    /**
     * Converts the time of a message.
     *
     * @param millis The time in milliseconds, or zero for none.
     * @return The time, or empty for none.
     */
    static Optional<Duration> retryAfter(long millis) {
        return millis <= 0 ? Optional.empty() : Optional.of(Duration.ofMillis(millis));
    }

    /**
     * The key of an undecided group.
     *
     * @param token The token of the submission.
     * @param group The identity of the group.
     */
    private record PendingKey(long token, GroupKey group) {}

    /**
     * An undecided group.
     *
     * @param key The key of this row.
     * @param group The group.
     * @param deadline The time by which the group must be safe.
     * @param sentTo The nodes that the group was ever sent to.
     * @param storedAt The nodes that hold the group.
     * @param lastSent The latest node that the group was sent to and when, or empty before the first.
     */
    private record Pending(
            PendingKey key,
            GroupSpecification group,
            MonotonicTime deadline,
            Set<NodeName> sentTo,
            Set<NodeIdentity> storedAt,
            Optional<Sent> lastSent) {

        /**
         * Returns whether the group is to be sent to a node now.
         *
         * @param target The node.
         * @param now The current time.
         * @return {@code true} if it was last sent to another one or long ago.
         */
        private boolean due(Member target, MonotonicTime now) {
            return lastSent.isEmpty()
                    || !lastSent.get().target().equals(target.identity().name())
                    || lastSent.get().at().plus(RESEND_AFTER).isBefore(now);
        }

        /**
         * Returns this row after the group was sent.
         *
         * @param target The node that it was sent to.
         * @param now The current time.
         * @return The changed row.
         */
        private Pending withSent(NodeName target, MonotonicTime now) {
            Set<NodeName> nodes = new HashSet<>(sentTo);
            nodes.add(target);
            return new Pending(key, group, deadline, nodes, storedAt, Optional.of(new Sent(target, now)));
        }

        /**
         * Returns this row after a node said that it holds the group.
         *
         * @param node The node.
         * @return The changed row.
         */
        private Pending withStoredAt(NodeIdentity node) {
            Set<NodeIdentity> nodes = new HashSet<>(storedAt);
            nodes.add(node);
            return new Pending(key, group, deadline, sentTo, nodes, lastSent);
        }
    }

    /**
     * When a group was sent.
     *
     * @param target The node that it was sent to.
     * @param at The time.
     */
    private record Sent(NodeName target, MonotonicTime at) {}

    /**
     * A submission that is not answered yet.
     *
     * @param token The token of the submission.
     * @param size The number of its groups.
     * @param accepted The groups that were accepted.
     * @param refused The groups that were refused.
     */
    private record Submission(long token, int size, List<GroupKey> accepted, List<SampleEffect.RefusedGroup> refused) {

        /**
         * Returns whether all groups are decided.
         *
         * @return {@code true} if all groups are decided.
         */
        private boolean decided() {
            return accepted.size() + refused.size() == size;
        }

        /**
         * Returns this submission after a group was accepted.
         *
         * @param key The identity of the group.
         * @return The changed submission.
         */
        private Submission withAccepted(GroupKey key) {
            List<GroupKey> keys = new ArrayList<>(accepted);
            keys.add(key);
            return new Submission(token, size, keys, refused);
        }

        /**
         * Returns this submission after a group was refused.
         *
         * @param group The group with the reason.
         * @return The changed submission.
         */
        private Submission withRefused(SampleEffect.RefusedGroup group) {
            List<SampleEffect.RefusedGroup> groups = new ArrayList<>(refused);
            groups.add(group);
            return new Submission(token, size, accepted, groups);
        }
    }
}
