package io.yuccaswitch.core.admission;

import io.yuccaswitch.core.registry.RegisteredEndpoint;
import java.time.Duration;

/** The decision on a request that needs a slot. */
public sealed interface AdmissionVerdict {

    /**
     * Returns the request.
     *
     * @return The request.
     */
    AdmissionRequest request();

    /**
     * Returns the inputs of the decision, for logs.
     *
     * @return The inputs.
     */
    Inputs inputs();

    /**
     * The request gets a slot.
     *
     * @param request The request.
     * @param endpoint The endpoint.
     * @param inputs The inputs of the decision, for logs.
     */
    record Granted(AdmissionRequest request, RegisteredEndpoint endpoint, Inputs inputs) implements AdmissionVerdict {}

    /**
     * The request gets no slot.
     *
     * @param request The request.
     * @param reason The reason.
     * @param inputs The inputs of the decision, for logs.
     */
    record Refused(AdmissionRequest request, Reason reason, Inputs inputs) implements AdmissionVerdict {}

    /**
     * The inputs of a decision, for logs.
     *
     * @param waited How long the request has waited.
     * @param ahead The number of requests that are served before it.
     * @param queued The number of queued requests.
     * @param slots The number of slots that this node can use.
     * @param slotTime The time for which a request occupies a slot, or zero if it is unknown.
     * @param reports The number of endpoints whose reported load was used. Of the others, the node's share was used.
     * @param endpoints The number of endpoints.
     */
    record Inputs(Duration waited, int ahead, int queued, int slots, Duration slotTime, int reports, int endpoints) {}

    /** Why a request gets no slot. */
    enum Reason {
        /** The pool has no endpoint. */
        NO_ENDPOINT("no endpoint"),
        /** The request would be answered too late. */
        TOO_LATE("too many requests wait"),
        /** The queue has reached its maximum length or size. */
        QUEUE_FULL("the queue is full"),
        /** The request gave way to a more urgent one, or to one of an account with fewer requests. */
        DISPLACED("requests with precedence wait"),
        /** No slot became free in time. */
        NO_SLOT("no slot became free");

        /** The text for callers and logs. */
        private final String text;

        /**
         * Creates a reason.
         *
         * @param text The text for callers and logs.
         */
        Reason(String text) {
            this.text = text;
        }

        /**
         * Returns the text for callers and logs.
         *
         * @return The text.
         */
        public String text() {
            return text;
        }
    }
}
