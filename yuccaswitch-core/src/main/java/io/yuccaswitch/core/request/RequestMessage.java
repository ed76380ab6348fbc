package io.yuccaswitch.core.request;

import io.yuccaswitch.core.identity.CallerName;
import io.yuccaswitch.core.identity.NodeIdentity;
import io.yuccaswitch.core.peer.PeerMessage;
import java.time.Duration;
import java.util.Optional;

/** A message between nodes that concerns a request. */
public sealed interface RequestMessage extends PeerMessage {

    /**
     * Returns the identifier of the request.
     *
     * @return The identifier of the request.
     */
    RequestId id();

    /**
     * Forwards a request to its home, which answers with {@link Concluded}. The message may be sent repeatedly: the
     * home joins repetitions to the request in progress, and repeats a refusal, so that a late repetition never runs a
     * refused request.
     *
     * @param request The request, whose deadline is meaningless to the receiver.
     * @param home The incarnation of the node that is the request's home, so that other incarnations do not accept the
     *     request.
     * @param window The issue window of the request, or a negative number if it has none.
     * @param arrival The random number of the request's arrival at the sender, the same for repetitions.
     * @param timeLeft The remaining time until the deadline.
     */
    record Forward(Request request, NodeIdentity home, long window, long arrival, Duration timeLeft)
            implements RequestMessage {

        /** {@inheritDoc} */
        @Override
        public RequestId id() {
            return request.id();
        }
    }

    /**
     * Reports the outcome of a request to a node that forwarded it.
     *
     * @param id The identifier of the request.
     * @param arrival The number of the arrival that the outcome belongs to.
     * @param outcome The outcome.
     */
    record Concluded(RequestId id, long arrival, RecordedOutcome outcome) implements RequestMessage {}

    /**
     * Queries the receiver for the state of a request, which it answers with {@link LookupAnswer}.
     *
     * @param id The identifier of the request.
     * @param caller The querying caller, which only receives information about its own requests.
     */
    record Lookup(RequestId id, CallerName caller) implements RequestMessage {}

    /**
     * Reports the state of a request at the sender.
     *
     * @param id The identifier of the request.
     * @param outcome The outcome, or empty if the sender has none.
     * @param inProgress {@code true} if the sender has the request in progress.
     */
    record LookupAnswer(RequestId id, Optional<RecordedOutcome> outcome, boolean inProgress)
            implements RequestMessage {}

    /**
     * Replicates the outcome of a request to a peer.
     *
     * @param id The identifier of the request.
     * @param caller The caller that sent the request.
     * @param fingerprint The fingerprint of the request, which distinguishes a repeated request from a different one.
     * @param outcome The outcome to retain.
     */
    record ReplicateOutcome(RequestId id, CallerName caller, long fingerprint, RecordedOutcome outcome)
            implements RequestMessage {}
}
