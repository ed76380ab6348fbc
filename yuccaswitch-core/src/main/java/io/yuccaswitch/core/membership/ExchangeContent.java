package io.yuccaswitch.core.membership;

import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.time.MonotonicTime;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Composes the contents of exchanges and of the messages that reconcile differences between tables. */
final class ExchangeContent {

    /** The maximum number of rows in a message. */
    static final int MAXIMUM_ROWS_PER_MESSAGE = 64;

    /** The maximum number of summaries in a message, unless a single bucket exceeds it. */
    static final int MAXIMUM_SUMMARIES_PER_MESSAGE = 128;

    /** The state of the membership. */
    private final MembershipState state;

    /**
     * Creates a new instance.
     *
     * @param state The state of the membership.
     */
    ExchangeContent(MembershipState state) {
        this.state = state;
    }

    /**
     * Returns this node's digest of its own state.
     *
     * @param now The current time.
     * @return The digest.
     */
    ExchangeDigest digest(MonotonicTime now) {
        return new ExchangeDigest(
                state.table().hash(),
                state.configuration().heldGeneration(),
                state.configuration().isReady(),
                state.platform().ownAge(now),
                state.platform().latest(now));
    }

    /**
     * Returns the rows to send to a partner: recent changes, this node's own row if requested, and this node's row of
     * the partner unless it is recorded as alive.
     *
     * @param partner The partner's name.
     * @param introduce {@code true} if the partner may not have this node's row.
     * @return The rows.
     */
    List<MemberRow> rowsFor(NodeName partner, boolean introduce) {
        Set<NodeName> names = refutableNames(partner);
        if (introduce) {
            names.add(state.table().selfRow().name());
        }
        names.addAll(state.changeQueue().take(state.table().rows().size()));
        return rows(names);
    }

    /**
     * Returns the rows that answer an exchange.
     *
     * @param sender The identity that the partner presents.
     * @param tablesDiffer {@code true} if both tables differ, so that the partner may lack recent changes.
     * @return The rows.
     */
    List<MemberRow> answerFor(NodeIdentity sender, boolean tablesDiffer) {
        List<MemberRow> answer =
                new ArrayList<>(tablesDiffer ? rowsFor(sender.name(), false) : rows(refutableNames(sender.name())));
        state.table()
                .row(sender.name())
                .filter(row -> !row.member().identity().equals(sender) && !answer.contains(row))
                .ifPresent(answer::add);
        return answer;
    }

    /**
     * Returns the rows for an address that is contacted without knowing which node listens there: this node's own row,
     * and those of dead members with that address, so that a member that is in fact running can refute its death.
     *
     * @param address The address.
     * @return The rows.
     */
    List<MemberRow> introduction(String address) {
        List<MemberRow> rows = new ArrayList<>();
        rows.add(state.table().selfRow());
        state.table().dead().stream()
                .filter(row -> row.member().peerAddress().equals(address))
                .limit(MAXIMUM_ROWS_PER_MESSAGE)
                .forEach(rows::add);
        return rows;
    }

    /**
     * Returns summaries of the rows in buckets that differ. If they exceed one message, only some of the buckets are
     * returned, and later exchanges reconcile the rest.
     *
     * @param hashes The partner's hashes of its buckets.
     * @return The message, or empty if no bucket differs.
     */
    Optional<MembershipMessage.Summaries> summaries(List<Long> hashes) {
        List<Long> own = state.table().bucketHashes();
        if (hashes.size() != own.size()) {
            return Optional.empty();
        }
        int buckets = 0;
        List<MemberSummary> summaries = new ArrayList<>();
        for (int bucket = 0; bucket < own.size(); bucket++) {
            if (own.get(bucket).equals(hashes.get(bucket))) {
                continue;
            }
            List<MemberRow> rows = state.table().rowsIn(1 << bucket);
            if (buckets != 0 && summaries.size() + rows.size() > MAXIMUM_SUMMARIES_PER_MESSAGE) {
                break;
            }
            buckets |= 1 << bucket;
            rows.stream().map(MemberRow::summary).forEach(summaries::add);
        }
        return buckets == 0 ? Optional.empty() : Optional.of(new MembershipMessage.Summaries(buckets, summaries));
    }

    /**
     * Answers summaries with the rows that the partner lacks and the names of the members that this node lacks.
     *
     * @param message The partner's summaries.
     * @return The messages that reconcile the difference, possibly none.
     */
    List<MembershipMessage.Rows> reconcile(MembershipMessage.Summaries message) {
        List<MemberRow> missing = new ArrayList<>();
        for (MemberRow row : state.table().rowsIn(message.buckets())) {
            Optional<MemberSummary> theirs = message.summaries().stream()
                    .filter(summary -> summary.name().equals(row.name()))
                    .findFirst();
            boolean unknown = theirs.isEmpty() && !row.is(MemberCondition.DEAD);
            if (unknown || theirs.map(summary -> summary.isOlderThan(row)).orElse(false)) {
                missing.add(row);
            }
        }
        List<NodeName> wanted = message.summaries().stream()
                .filter(this::isNewer)
                .map(MemberSummary::name)
                .limit(MAXIMUM_SUMMARIES_PER_MESSAGE)
                .toList();
        return messages(missing, wanted);
    }

    /**
     * Answers a request for rows.
     *
     * @param names The names of the requested members.
     * @return The messages, possibly none.
     */
    List<MembershipMessage.Rows> requestedRows(List<NodeName> names) {
        return messages(rows(new LinkedHashSet<>(names)), List.of());
    }

    /**
     * Returns the partner's name if this node does not record it as alive, so that the partner can refute the record.
     *
     * @param partner The partner's name.
     * @return The name, or an empty set.
     */
    private Set<NodeName> refutableNames(NodeName partner) {
        Set<NodeName> names = new LinkedHashSet<>();
        state.table()
                .row(partner)
                .filter(row -> !row.is(MemberCondition.ALIVE))
                .map(MemberRow::name)
                .ifPresent(names::add);
        return names;
    }

    /**
     * Returns whether the row of a summary is newer than this node's row.
     *
     * @param summary The summary.
     * @return {@code true} if the row is newer.
     */
    private boolean isNewer(MemberSummary summary) {
        return state.table()
                .row(summary.name())
                .map(summary::isNewerThan)
                .orElseGet(() -> summary.condition() != MemberCondition.DEAD);
    }

    /**
     * Finds rows.
     *
     * @param names The names of the members.
     * @return The rows of those in the table.
     */
    private List<MemberRow> rows(Set<NodeName> names) {
        return names.stream()
                .map(state.table()::row)
                .<MemberRow>mapMulti(Optional::ifPresent)
                .toList();
    }

    /**
     * Splits rows into messages of bounded size.
     *
     * @param rows The rows.
     * @param wanted The names to request, which are sent with the first message.
     * @return The messages, none if both lists are empty.
     */
    private static List<MembershipMessage.Rows> messages(List<MemberRow> rows, List<NodeName> wanted) {
        List<MembershipMessage.Rows> messages = new ArrayList<>();
        for (int start = 0; start < rows.size(); start += MAXIMUM_ROWS_PER_MESSAGE) {
            int end = Math.min(rows.size(), start + MAXIMUM_ROWS_PER_MESSAGE);
            messages.add(new MembershipMessage.Rows(rows.subList(start, end), start == 0 ? wanted : List.of()));
        }
        if (rows.isEmpty() && !wanted.isEmpty()) {
            messages.add(new MembershipMessage.Rows(List.of(), wanted));
        }
        return messages;
    }
}
