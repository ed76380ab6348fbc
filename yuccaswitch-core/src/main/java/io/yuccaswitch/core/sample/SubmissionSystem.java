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
 * Accepts groups from trainers. A group is accepted once its driver and its backup, in two availability zones if the
 * site has several, have both confirmed that they hold it. The driver is requested first, so its refusal implies that
 * no node holds the group.
 */
final class SubmissionSystem implements SampleMessageHandler {

    /** The time after which an unanswered message is sent again. */
    private static final Duration RESEND_INTERVAL = Duration.ofMillis(300);

    /** The time within which all holders of a group must confirm it. */
    private static final Duration ACCEPTANCE_TIMEOUT = Duration.ofSeconds(5);

    /** The time after which a trainer should resubmit a group that its holders could not confirm. */
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    /** The shared tables. */
    private final SampleContext context;

    /** The groups that are neither accepted nor refused yet. */
    private final EntityTable<PendingKey, PendingGroup> pending = new EntityTable<>();

    /** The unanswered submissions by token. */
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
            for (PendingGroup row : pendingOf(stored.key())) {
                PendingGroup changed = row.withStoredAt(sender);
                pending.put(row.key(), changed);
                advance(tick, changed);
            }
        } else if (message instanceof SampleMessage.StoreRefused refused) {
            for (PendingGroup row : pendingOf(refused.key())) {
                boolean noOtherHolder =
                        row.storedAt().isEmpty() && Set.of(sender.name()).containsAll(row.sentTo());
                refuse(tick, row, refused.code(), noOtherHolder, retryAfter(refused.retryAfterMillis()));
            }
        }
    }

    /** {@inheritDoc} */
    @Override
    public void run(Tick tick) {
        for (SampleEvent.Submitted event : tick.events(SampleEvent.Submitted.class)) {
            start(tick, event);
        }
        for (PendingGroup row : pending.rows()) {
            advance(tick, row);
        }
    }

    /**
     * Starts the processing of a submission.
     *
     * @param tick The current tick.
     * @param event The submission.
     */
    private void start(Tick tick, SampleEvent.Submitted event) {
        Set<GroupKey> keys = new HashSet<>();
        List<PendingGroup> rows = new ArrayList<>();
        for (GroupSpecification group : event.groups()) {
            if (keys.add(group.key())) {
                PendingKey key = new PendingKey(event.token(), group.key());
                rows.add(new PendingGroup(
                        key, group, tick.now().plus(ACCEPTANCE_TIMEOUT), Set.of(), Set.of(), Optional.empty()));
            }
        }
        submissions.put(event.token(), new Submission(event.token(), keys.size(), List.of(), List.of()));
        if (rows.isEmpty()) {
            conclude(tick, event.token());
        }
        for (PendingGroup row : rows) {
            pending.put(row.key(), row);
            refuseIfUnacceptable(tick, row);
        }
    }

    /**
     * Refuses a group immediately if it can never be accepted.
     *
     * @param tick The current tick.
     * @param row The group.
     */
    private void refuseIfUnacceptable(Tick tick, PendingGroup row) {
        if (context.trainer(row.group().key().trainer()).isEmpty()) {
            refuse(tick, row, "trainer-unknown", true, Optional.empty());
        } else if (!row.group().fitsMessage()) {
            refuse(tick, row, "group-too-large", true, Optional.empty());
        }
    }

    /**
     * Accepts or refuses a group if possible, or sends it to the next holder that has not confirmed it.
     *
     * @param tick The current tick.
     * @param row The group.
     */
    private void advance(Tick tick, PendingGroup row) {
        if (!pending.contains(row.key())) {
            return;
        }
        List<Member> pair = context.roles.holders(row.group().key());
        if (!context.inTwoZones(pair)) {
            refuse(tick, row, "no-second-zone", row.sentTo().isEmpty(), Optional.of(RETRY_DELAY));
            return;
        }
        Optional<Member> missing = pair.stream()
                .filter(member -> !row.storedAt().contains(member.identity()))
                .findFirst();
        if (missing.isEmpty()) {
            accept(tick, row);
        } else if (row.deadline().isBefore(tick.now())) {
            refuse(tick, row, "holders-unreachable", row.sentTo().isEmpty(), Optional.of(RETRY_DELAY));
        } else if (row.due(missing.get(), tick.now())) {
            NodeName target = missing.get().identity().name();
            pending.put(row.key(), row.withSent(target, tick.now()));
            context.outbox.send(tick, target, new SampleMessage.Store(row.group(), true));
        }
    }

    /**
     * Accepts a group.
     *
     * @param tick The current tick.
     * @param row The group.
     */
    private void accept(Tick tick, PendingGroup row) {
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
     * @param definitelyNotRun {@code true} if no node holds the group.
     * @param retryAfter The time after which the trainer may retry, or empty if a retry is useless.
     */
    private void refuse(
            Tick tick, PendingGroup row, String code, boolean definitelyNotRun, Optional<Duration> retryAfter) {
        GroupKey key = row.group().key();
        pending.remove(row.key());
        tick.decide(Decision.of("submit", key.toString(), Decision.NO_CHOICE, code));
        SampleEffect.RefusedGroup refused = new SampleEffect.RefusedGroup(key, code, definitelyNotRun, retryAfter);
        submissions.update(row.key().token(), submission -> submission.withRefused(refused));
        conclude(tick, row.key().token());
    }

    /**
     * Answers a submission if all of its groups are accepted or refused.
     *
     * @param tick The current tick.
     * @param token The token of the submission.
     */
    private void conclude(Tick tick, long token) {
        submissions.find(token).filter(Submission::isComplete).ifPresent(submission -> {
            submissions.remove(token);
            tick.emit(new SampleEffect.AnswerSubmission(token, submission.accepted(), submission.refused()));
        });
    }

    /**
     * Finds the pending rows of a group.
     *
     * @param key The identity of the group.
     * @return The rows, one for each submission that contains the group.
     */
    private List<PendingGroup> pendingOf(GroupKey key) {
        return pending.view().stream()
                .filter(row -> row.key().group().equals(key))
                .toList();
    }

    /**
     * Converts the retry delay of a message.
     *
     * @param millis The delay in milliseconds, or zero for none.
     * @return The delay, or empty for none.
     */
    static Optional<Duration> retryAfter(long millis) {
        return millis <= 0 ? Optional.empty() : Optional.of(Duration.ofMillis(millis));
    }

    /**
     * The key of a pending group.
     *
     * @param token The token of the submission.
     * @param group The identity of the group.
     */
    private record PendingKey(long token, GroupKey group) {}

    /**
     * A group that is neither accepted nor refused yet.
     *
     * @param key The key of this row.
     * @param group The group.
     * @param deadline The time by which all holders must confirm the group.
     * @param sentTo All nodes that the group was sent to.
     * @param storedAt The nodes that confirmed to hold the group.
     * @param lastSent The latest sending of the group, or empty if it was not sent yet.
     */
    private record PendingGroup(
            PendingKey key,
            GroupSpecification group,
            MonotonicTime deadline,
            Set<NodeName> sentTo,
            Set<NodeIdentity> storedAt,
            Optional<Sent> lastSent) {

        /**
         * Returns whether the group must be sent to a node now.
         *
         * @param target The node.
         * @param now The current time.
         * @return {@code true} if it was last sent to another node, or more than {@link #RESEND_INTERVAL} ago.
         */
        private boolean due(Member target, MonotonicTime now) {
            return lastSent.isEmpty()
                    || !lastSent.get().target().equals(target.identity().name())
                    || lastSent.get().at().plus(RESEND_INTERVAL).isBefore(now);
        }

        /**
         * Returns this row after the group was sent.
         *
         * @param target The node that it was sent to.
         * @param now The current time.
         * @return The changed row.
         */
        private PendingGroup withSent(NodeName target, MonotonicTime now) {
            Set<NodeName> nodes = new HashSet<>(sentTo);
            nodes.add(target);
            return new PendingGroup(key, group, deadline, nodes, storedAt, Optional.of(new Sent(target, now)));
        }

        /**
         * Returns this row after a node confirmed that it holds the group.
         *
         * @param node The node.
         * @return The changed row.
         */
        private PendingGroup withStoredAt(NodeIdentity node) {
            Set<NodeIdentity> nodes = new HashSet<>(storedAt);
            nodes.add(node);
            return new PendingGroup(key, group, deadline, sentTo, nodes, lastSent);
        }
    }

    /**
     * * A sending of a group to a node.
     *
     * @param target The node that it was sent to.
     * @param at The time.
     */
    private record Sent(NodeName target, MonotonicTime at) {}

    /**
     * An unanswered submission.
     *
     * @param token The token of the submission.
     * @param size The number of its groups.
     * @param accepted The groups that were accepted.
     * @param refused The groups that were refused.
     */
    private record Submission(long token, int size, List<GroupKey> accepted, List<SampleEffect.RefusedGroup> refused) {

        /**
         * Returns whether all groups are accepted or refused.
         *
         * @return {@code true} if all groups are accepted or refused.
         */
        private boolean isComplete() {
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
