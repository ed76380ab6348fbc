package io.yuccaswitch.core.membership;

import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.peer.PeerMessage;
import java.util.List;

/** A message by which nodes keep track of each other. All of them are bounded in size, however many nodes there are. */
public sealed interface MembershipMessage extends PeerMessage {

    /**
     * Opens an exchange, which also proves that the partner answers.
     *
     * @param sequence The number that the answer bears.
     * @param digest What the sender says of itself.
     * @param rows Recent changes, and what the sender believes of the partner unless it is alive.
     */
    record Exchange(long sequence, ExchangeDigest digest, List<MemberRow> rows) implements MembershipMessage {}

    /**
     * Answers an exchange.
     *
     * @param sequence The number of the exchange.
     * @param digest What the sender says of itself.
     * @param rows Recent changes, and what the sender believes of the partner unless it is alive.
     * @param bucketHashes The hashes of the buckets of the sender's table, or none if both tables are equal.
     */
    record ExchangeAnswer(long sequence, ExchangeDigest digest, List<MemberRow> rows, List<Long> bucketHashes)
            implements MembershipMessage {}

    /**
     * Says what the sender believes of all members in some buckets of its table, to be answered by {@link Rows}.
     *
     * @param buckets The buckets, one bit for each.
     * @param summaries The members in these buckets.
     */
    record Summaries(int buckets, List<MemberSummary> summaries) implements MembershipMessage {}

    /**
     * Brings rows that were missing, and asks for others.
     *
     * @param rows The rows that are news to the receiver.
     * @param wanted The members of whom the sender wants the receiver's rows.
     */
    record Rows(List<MemberRow> rows, List<NodeName> wanted) implements MembershipMessage {}

    /**
     * Asks a node to open an exchange with another one that does not answer the sender.
     *
     * @param sequence The number of the sender's exchange that was not answered.
     * @param target The node that does not answer.
     */
    record ProbeRequest(long sequence, NodeName target) implements MembershipMessage {}

    /**
     * Says that a node answers after all.
     *
     * @param sequence The number of the exchange that was not answered directly.
     * @param target The node that answered.
     */
    record ProbeSuccess(long sequence, NodeName target) implements MembershipMessage {}

    /** Tells a node that the platform lists its VM as leaving. */
    record LeavingAdvice() implements MembershipMessage {}
}
