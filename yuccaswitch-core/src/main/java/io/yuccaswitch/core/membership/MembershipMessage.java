package io.yuccaswitch.core.membership;

import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.peer.PeerMessage;
import java.util.List;

/** A message of the membership protocol. The size of each message is bounded, regardless of the number of nodes. */
public sealed interface MembershipMessage extends PeerMessage {

    /**
     * Opens an exchange, whose answer also shows that the partner is reachable.
     *
     * @param sequence The number that the answer repeats.
     * @param digest The sender's digest of its own state.
     * @param rows Recent changes, and the sender's row of the partner unless that is alive.
     */
    record Exchange(long sequence, ExchangeDigest digest, List<MemberRow> rows) implements MembershipMessage {}

    /**
     * Answers an exchange.
     *
     * @param sequence The number of the exchange.
     * @param digest The sender's digest of its own state.
     * @param rows Recent changes, and the sender's row of the partner unless that is alive.
     * @param bucketHashes The hashes of the buckets of the sender's table, or none if both tables are equal.
     */
    record ExchangeAnswer(long sequence, ExchangeDigest digest, List<MemberRow> rows, List<Long> bucketHashes)
            implements MembershipMessage {}

    /**
     * Summarizes the sender's rows in some buckets of its table. The answer is {@link Rows}.
     *
     * @param buckets The buckets, one bit for each.
     * @param summaries The members in these buckets.
     */
    record Summaries(int buckets, List<MemberSummary> summaries) implements MembershipMessage {}

    /**
     * Supplies rows that the receiver lacks, and requests others.
     *
     * @param rows The rows that are newer than those of the receiver.
     * @param wanted The members whose rows the sender requests from the receiver.
     */
    record Rows(List<MemberRow> rows, List<NodeName> wanted) implements MembershipMessage {}

    /**
     * Requests that a node opens an exchange with another one that does not answer the sender.
     *
     * @param sequence The number of the sender's exchange that was not answered.
     * @param target The node that does not answer.
     */
    record ProbeRequest(long sequence, NodeName target) implements MembershipMessage {}

    /**
     * Reports that the target of a {@link ProbeRequest} answered.
     *
     * @param sequence The number of the exchange that was not answered directly.
     * @param target The node that answered.
     */
    record ProbeSuccess(long sequence, NodeName target) implements MembershipMessage {}

    /** Notifies a node that the platform lists its VM as leaving. */
    record LeavingNotification() implements MembershipMessage {}
}
