package io.yuccaswitch.node.gateway;

import io.yuccaswitch.core.admission.AdmissionRequest;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.proxy.ReportedLoad;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;

/** Assigns endpoints to the attempts of plain requests. */
interface EndpointAssignment {

    /**
     * Assigns an endpoint to the next attempt of a request, possibly after the calling thread has waited for one.
     *
     * @param claim The request.
     * @return The assignment. After an assignment, {@link #end} must be called.
     */
    Assigned assign(Claim claim);

    /**
     * Records the load that an endpoint reported with the start of an answer.
     *
     * @param endpoint The endpoint.
     * @param load The load.
     */
    default void reported(RegisteredEndpoint endpoint, ReportedLoad load) {}

    /**
     * Records the end of an attempt.
     *
     * @param claim The request.
     * @param endpoint The endpoint that was assigned.
     * @param ended How the attempt ended, or empty if it could not be made.
     */
    void end(Claim claim, RegisteredEndpoint endpoint, Optional<Ended> ended);

    /**
     * Returns the delay after which the caller of a request that has not run should retry.
     *
     * @param claim The request.
     * @return The delay, randomised so that callers do not retry simultaneously.
     */
    Duration retryDelay(Claim claim);

    /** Notes that the working endpoints have changed. */
    default void endpointsChanged() {}

    /** Refuses the waiting requests that a planned stop of this node may cut. */
    default void stopLimited() {}

    /**
     * A request that needs an endpoint for its next attempt.
     *
     * @param request The request.
     * @param pool The pool that serves the request.
     * @param avoided The endpoints that are used only if there is no other.
     * @param stage What earlier attempts have led to.
     * @param arrivedAt When the request arrived.
     * @param watched Detects that the caller disconnected.
     */
    record Claim(
            PlainRequest request,
            Optional<PoolName> pool,
            Set<EndpointName> avoided,
            AdmissionRequest.Stage stage,
            MonotonicTime arrivedAt,
            DisconnectWatch.WatchedRequest watched) {}

    /** The result of a claim. */
    sealed interface Assigned {

        /**
         * The request is sent to an endpoint.
         *
         * @param endpoint The endpoint.
         */
        record To(RegisteredEndpoint endpoint) implements Assigned {}

        /**
         * The request is not sent.
         *
         * @param reason The reason, for the caller and logs.
         */
        record None(String reason) implements Assigned {}

        /** The caller disconnected before the request was sent. */
        record CallerGone() implements Assigned {}
    }

    /**
     * The end of an attempt.
     *
     * @param result The result of the attempt.
     * @param duration The duration of the attempt.
     * @param headTimeout How long the attempt could wait for the start of its answer.
     * @param callerGone Whether the caller has disconnected.
     * @param load The load that the endpoint reported, if it did.
     */
    record Ended(
            AttemptResult result,
            Duration duration,
            Duration headTimeout,
            boolean callerGone,
            Optional<ReportedLoad> load) {

        /**
         * Returns whether the endpoint answered.
         *
         * @return {@code true} for a complete answer and a forwarded stream.
         */
        boolean isAnswered() {
            return result instanceof AttemptResult.Complete || result instanceof AttemptResult.Relayed;
        }

        /**
         * Returns whether the request was not run for a given cause.
         *
         * @param cause The cause.
         * @return {@code true} if it was not run for that cause.
         */
        boolean isNotRun(AttemptResult.NotRunCause cause) {
            return result instanceof AttemptResult.NotRun notRun && notRun.cause() == cause;
        }
    }
}
