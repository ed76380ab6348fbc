package io.yuccaswitch.core.membership;

import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.Tick;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Merges rows of any origin into the table of members, and raises the resulting events. */
final class MemberMerge {

    /** The kind of the decisions that are recorded here. */
    private static final String DECISION_KIND = "membership";

    /** The table of members. */
    private final MemberTable table;

    /** The changes to disseminate. */
    private final ChangeQueue changeQueue;

    /** The timers of suspected and dead members. */
    private final MemberTimers timers;

    /** The counters. */
    private final MembershipCounters counters;

    /** The running members that were added in this tick, by the reason, until a decision is recorded for them. */
    private final Map<String, List<Decision.Candidate>> newMembers = new LinkedHashMap<>();

    /**
     * Creates a new merge.
     *
     * @param table The table of members.
     * @param changeQueue The changes to disseminate.
     * @param timers The timers of suspected and dead members.
     * @param counters The counters.
     */
    MemberMerge(MemberTable table, ChangeQueue changeQueue, MemberTimers timers, MembershipCounters counters) {
        this.table = table;
        this.changeQueue = changeQueue;
        this.timers = timers;
        this.counters = counters;
    }

    /**
     * Applies a row if it supersedes the recorded one.
     *
     * @param tick The tick.
     * @param row The received row.
     * @param reason The origin of the row, for logs.
     */
    void apply(Tick tick, MemberRow row, String reason) {
        if (row.name().equals(table.selfRow().name())) {
            refute(tick, row);
            return;
        }
        Optional<MemberRow> existing = table.row(row.name());
        if (existing.isEmpty() && row.is(MemberCondition.DEAD)) {
            return;
        }
        if (existing.isEmpty() || row.supersedes(existing.get())) {
            replace(tick, row, existing, reason);
        }
    }

    /**
     * Replaces this node's own row, and queues the change for other nodes.
     *
     * @param row The row.
     */
    void replaceSelf(MemberRow row) {
        table.put(row);
        changeQueue.add(row.name());
    }

    /**
     * Removes a member.
     *
     * @param tick The tick.
     * @param name The member's name.
     */
    void remove(Tick tick, NodeName name) {
        table.row(name).ifPresent(row -> {
            table.remove(name);
            timers.clear(name);
            tick.emit(new MembershipEffect.RemoveAddress(name));
            tick.raise(new MembershipEvent.Forgotten(row.member().identity()));
        });
    }

    /**
     * Replaces the row of another member.
     *
     * @param tick The tick.
     * @param row The new row.
     * @param existing The previous row, if any.
     * @param reason The origin of the row, for logs.
     */
    private void replace(Tick tick, MemberRow row, Optional<MemberRow> existing, String reason) {
        table.put(row);
        changeQueue.add(row.name());
        setTimers(tick, row);
        Member member = row.member();
        if (existing.map(MemberRow::member)
                .map(Member::peerAddress)
                .filter(member.peerAddress()::equals)
                .isEmpty()) {
            tick.emit(new MembershipEffect.RegisterAddress(row.name(), member.peerAddress()));
        }
        recordDecision(tick, member, existing.isEmpty(), reason);
        raiseEvents(tick, row, existing);
    }

    /**
     * Records a decision for an applied row. New members that are alive are collected for one decision that lists them
     * all: a starting node receives all members of the site at once, and one log line for each would make the number of
     * lines grow with the square of the number of nodes.
     *
     * @param tick The tick.
     * @param member The member.
     * @param added Whether the table did not contain it before.
     * @param reason The origin of the row.
     */
    private void recordDecision(Tick tick, Member member, boolean added, String reason) {
        String subject = member.identity().toString();
        if (added && member.condition() == MemberCondition.ALIVE) {
            newMembers.computeIfAbsent(reason, _reason -> new ArrayList<>()).add(new Decision.Candidate(subject, 0));
            return;
        }
        tick.decide(Decision.of(DECISION_KIND, subject, member.condition().name(), reason));
    }

    /**
     * Records one decision per reason for the members that were added in this tick.
     *
     * @param tick The tick.
     */
    void reportNewMembers(Tick tick) {
        newMembers.forEach((reason, members) -> {
            String subject = members.size() == 1 ? members.get(0).name() : members.size() + " members";
            tick.decide(new Decision(DECISION_KIND, subject, MemberCondition.ALIVE.name(), reason, members));
        });
        newMembers.clear();
    }

    /**
     * Starts and stops the timers of a member.
     *
     * @param tick The tick.
     * @param row The member's new row.
     */
    private void setTimers(Tick tick, MemberRow row) {
        if (row.is(MemberCondition.DEAD)) {
            timers.startDeathTimer(row.name(), tick.now());
        } else if (row.is(MemberCondition.SUSPECTED)) {
            timers.startSuspicionTimer(row.name(), tick.now());
        } else {
            timers.clear(row.name());
        }
    }

    /**
     * Raises the events that result from a new row.
     *
     * @param tick The tick.
     * @param row The new row.
     * @param existing The previous row, if any.
     */
    private void raiseEvents(Tick tick, MemberRow row, Optional<MemberRow> existing) {
        Member member = row.member();
        boolean sameIncarnation = existing.map(
                        before -> before.member().identity().equals(member.identity()))
                .orElse(false);
        if (sameIncarnation) {
            MemberCondition before = existing.get().member().condition();
            if (before != member.condition()) {
                tick.raise(new MembershipEvent.ConditionChanged(member, before));
            }
            if (member.condition().compareTo(before) < 0) {
                counters.refuted(before);
            }
            return;
        }
        existing.filter(before -> !before.is(MemberCondition.DEAD))
                .ifPresent(before -> tick.raise(new MembershipEvent.ConditionChanged(
                        before.member().withCondition(MemberCondition.DEAD),
                        before.member().condition())));
        if (!row.is(MemberCondition.DEAD)) {
            tick.raise(new MembershipEvent.Joined(member));
        }
    }

    /**
     * Refutes a row of this node that supersedes its own one. A row of a lower incarnation is ignored. After a row of a
     * higher one, this node adopts the next incarnation.
     *
     * @param tick The tick.
     * @param row The received row of this node.
     */
    private void refute(Tick tick, MemberRow row) {
        MemberRow self = table.selfRow();
        if (!row.supersedes(self) || self.is(MemberCondition.DEAD)) {
            return;
        }
        counters.ownRefutation();
        NodeIdentity own = self.member().identity();
        if (row.member().identity().incarnation() == own.incarnation()) {
            replaceSelf(self.withRevision(row.revision() + 1));
            tick.decide(Decision.of(
                    DECISION_KIND,
                    own.toString(),
                    "object",
                    "reported as " + row.member().condition()));
            return;
        }
        NodeIdentity newIdentity =
                new NodeIdentity(own.name(), row.member().identity().incarnation() + 1);
        replaceSelf(self.withIdentity(newIdentity));
        tick.emit(new MembershipEffect.Identify(newIdentity));
        tick.raise(new MembershipEvent.IdentityRaised(own, newIdentity));
        tick.decide(Decision.of(
                DECISION_KIND, newIdentity.toString(), "raise", "a higher incarnation was recorded for this node"));
    }
}
