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
     * Passes a request to its home, which answers by {@link Concluded}. It may be sent repeatedly: the home joins
     * repetitions to the request in progress, and repeats a refusal, such that a late repetition never runs what was
     * refused.
     *
     * @param request The request, whose deadline is of no meaning to the receiver.
     * @param home The life of the node that is the request's home, such that another life does not take it.
     * @param window The issue window of the request, or a negative number if it has none.
     * @param arrival The random number of the request's arrival at the sender, the same for repetitions.
     * @param timeLeft The time that is left until the deadline.
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
     * Tells a node that passed on a request what became of it.
     *
     * @param id The identifier of the request.
     * @param arrival The number of the arrival that the outcome is for.
     * @param outcome The outcome.
     */
    record Concluded(RequestId id, long arrival, RecordedOutcome outcome) implements RequestMessage {}

    /**
     * Asks what the receiver knows of a request, to be answered by {@link LookupAnswer}.
     *
     * @param id The identifier of the request.
     * @param caller The caller that asks, which only learns of its own requests.
     */
    record Lookup(RequestId id, CallerName caller) implements RequestMessage {}

    /**
     * Tells what the sender knows of a request.
     *
     * @param id The identifier of the request.
     * @param outcome The outcome, or empty if the sender knows none.
     * @param inProgress {@code true} if the sender has the request in progress.
     */
    record LookupAnswer(RequestId id, Optional<RecordedOutcome> outcome, boolean inProgress)
            implements RequestMessage {}

    /**
     * Gives a finished answer to a peer that keeps a copy of it.
     *
     * @param id The identifier of the request.
     * @param caller The caller that made the request.
     * @param fingerprint The fingerprint of the request, which tells a request that is sent again from another one.
     * @param outcome The outcome to keep.
     */
    record KeepAnswer(RequestId id, CallerName caller, long fingerprint, RecordedOutcome outcome)
            implements RequestMessage {}
}
