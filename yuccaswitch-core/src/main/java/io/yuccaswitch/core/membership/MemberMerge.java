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

/** Takes beliefs into the table of members, wherever they come from, and raises the events that follow. */
final class MemberMerge {

    /** The kind of the decisions that are explained here. */
    private static final String DECISION_KIND = "membership";

    /** The table of members. */
    private final MemberTable table;

    /** The changes to tell others. */
    private final NewsQueue news;

    /** The timers of suspected and dead members. */
    private final MemberTimers timers;

    /** The counters. */
    private final MembershipCounters counters;

    /** The members that this tick made known, by who told of them, until they are explained. */
    private final Map<String, List<Decision.Candidate>> newcomers = new LinkedHashMap<>();

    /**
     * Creates a new merge.
     *
     * @param table The table of members.
     * @param news The changes to tell others.
     * @param timers The timers of suspected and dead members.
     * @param counters The counters.
     */
    MemberMerge(MemberTable table, NewsQueue news, MemberTimers timers, MembershipCounters counters) {
        this.table = table;
        this.news = news;
        this.timers = timers;
        this.counters = counters;
    }

    /**
     * Takes a belief in if it is stronger than what is believed so far.
     *
     * @param tick The tick.
     * @param row The belief.
     * @param reason Where the belief comes from, for logs.
     */
    void apply(Tick tick, MemberRow row, String reason) {
        if (row.name().equals(table.selfRow().name())) {
            object(tick, row);
            return;
        }
        Optional<MemberRow> known = table.row(row.name());
        if (known.isEmpty() && row.is(MemberCondition.DEAD)) {
            return;
        }
        if (known.isEmpty() || row.supersedes(known.get())) {
            take(tick, row, known, reason);
        }
    }

    /**
     * Replaces this node's own row, and tells others.
     *
     * @param row The row.
     */
    void replaceSelf(MemberRow row) {
        table.put(row);
        news.add(row.name());
    }

    /**
     * Forgets a member.
     *
     * @param tick The tick.
     * @param name The member's name.
     */
    void forget(Tick tick, NodeName name) {
        table.row(name).ifPresent(row -> {
            table.remove(name);
            timers.clear(name);
            tick.emit(new MembershipEffect.ForgetAddress(name));
            tick.raise(new MembershipEvent.Forgotten(row.member().identity()));
        });
    }

    /**
     * Replaces the row of another member.
     *
     * @param tick The tick.
     * @param row The new row.
     * @param known The row before, if any.
     * @param reason Where the belief comes from, for logs.
     */
    private void take(Tick tick, MemberRow row, Optional<MemberRow> known, String reason) {
        table.put(row);
        news.add(row.name());
        setTimers(tick, row);
        Member member = row.member();
        if (known.map(MemberRow::member)
                .map(Member::peerAddress)
                .filter(member.peerAddress()::equals)
                .isEmpty()) {
            tick.emit(new MembershipEffect.LearnAddress(row.name(), member.peerAddress()));
        }
        explain(tick, member, known.isEmpty(), reason);
        raiseEvents(tick, row, known);
    }

    /**
     * Explains a belief that was taken in. Living members that were not known before wait for one decision that names
     * them all: a node that starts learns of the whole site at once, and a line each would cost nodes times nodes.
     *
     * @param tick The tick.
     * @param member The member.
     * @param unknown Whether it was not known before.
     * @param reason Where the belief comes from.
     */
    private void explain(Tick tick, Member member, boolean unknown, String reason) {
        String subject = member.identity().toString();
        if (unknown && member.condition() == MemberCondition.ALIVE) {
            newcomers.computeIfAbsent(reason, _reason -> new ArrayList<>()).add(new Decision.Candidate(subject, 0));
            return;
        }
        tick.decide(Decision.of(DECISION_KIND, subject, member.condition().name(), reason));
    }

    /**
     * Explains the members that became known in this tick.
     *
     * @param tick The tick.
     */
    void explainNewcomers(Tick tick) {
        newcomers.forEach((reason, members) -> {
            String subject = members.size() == 1 ? members.get(0).name() : members.size() + " members";
            tick.decide(new Decision(DECISION_KIND, subject, MemberCondition.ALIVE.name(), reason, members));
        });
        newcomers.clear();
    }

    /**
     * Starts and stops the timers of a member.
     *
     * @param tick The tick.
     * @param row The member's new row.
     */
    private void setTimers(Tick tick, MemberRow row) {
        if (row.is(MemberCondition.DEAD)) {
            timers.bury(row.name(), tick.now());
        } else if (row.is(MemberCondition.SUSPECTED)) {
            timers.suspect(row.name(), tick.now());
        } else {
            timers.clear(row.name());
        }
    }

    /**
     * Raises the events that follow from a new row.
     *
     * @param tick The tick.
     * @param row The new row.
     * @param known The row before, if any.
     */
    private void raiseEvents(Tick tick, MemberRow row, Optional<MemberRow> known) {
        Member member = row.member();
        boolean sameLife = known.map(before -> before.member().identity().equals(member.identity()))
                .orElse(false);
        if (sameLife) {
            MemberCondition before = known.get().member().condition();
            if (before != member.condition()) {
                tick.raise(new MembershipEvent.ConditionChanged(member, before));
            }
            if (member.condition().compareTo(before) < 0) {
                counters.refuted(before);
            }
            return;
        }
        known.filter(before -> !before.is(MemberCondition.DEAD))
                .ifPresent(before -> tick.raise(new MembershipEvent.ConditionChanged(
                        before.member().withCondition(MemberCondition.DEAD),
                        before.member().condition())));
        if (!row.is(MemberCondition.DEAD)) {
            tick.raise(new MembershipEvent.Joined(member));
        }
    }

    /**
     * Objects to what others believe of this node, if it is stronger than what this node says of itself. A belief about
     * a former life is none of its business, unless that life had a higher incarnation.
     *
     * @param tick The tick.
     * @param row What others believe of this node.
     */
    private void object(Tick tick, MemberRow row) {
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
                    "taken for " + row.member().condition()));
            return;
        }
        NodeIdentity raised =
                new NodeIdentity(own.name(), row.member().identity().incarnation() + 1);
        replaceSelf(self.withIdentity(raised));
        tick.emit(new MembershipEffect.Identify(raised));
        tick.raise(new MembershipEvent.IdentityRaised(own, raised));
        tick.decide(Decision.of(DECISION_KIND, raised.toString(), "raise", "another life had a higher incarnation"));
    }
}
