package io.yuccaswitch.testkit.check;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/**
 * An event that a party outside the system recorded. All times are milliseconds since the epoch, read from the clock of
 * one machine.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "observation")
@JsonSubTypes({
    @JsonSubTypes.Type(value = Observation.CallerAttempt.class, name = "caller-attempt"),
    @JsonSubTypes.Type(value = Observation.EndpointRun.class, name = "endpoint-run"),
    @JsonSubTypes.Type(value = Observation.EndpointRefused.class, name = "endpoint-refused"),
    @JsonSubTypes.Type(value = Observation.PlatformFault.class, name = "platform-fault"),
    @JsonSubTypes.Type(value = Observation.EndpointLeft.class, name = "endpoint-left"),
    @JsonSubTypes.Type(value = Observation.GroupAccepted.class, name = "group-accepted"),
    @JsonSubTypes.Type(value = Observation.SampleReceived.class, name = "sample-received"),
    @JsonSubTypes.Type(value = Observation.ConfigurationAccepted.class, name = "configuration-accepted"),
    @JsonSubTypes.Type(value = Observation.ConfigurationRead.class, name = "configuration-read"),
    @JsonSubTypes.Type(value = Observation.PlannedStop.class, name = "planned-stop"),
    @JsonSubTypes.Type(value = Observation.NodeCrash.class, name = "node-crash")
})
public sealed interface Observation {

    /** How an attempt of a caller ended, as the caller saw it. */
    enum AttemptEnd {
        /** The caller received a complete answer of an endpoint. */
        ANSWERED,
        /** The system reported that the request did not run. */
        NOT_RUN,
        /** The system reported that the request ran, may have run, or that this is unknown. */
        MAY_HAVE_RUN,
        /** The connection could not be established. */
        NOT_CONNECTED,
        /** The connection was lost, or the answer was truncated. */
        CUT,
        /** The caller timed out. */
        TIMED_OUT
    }

    /**
     * One attempt of a caller to execute a request. All attempts for the same request carry the same identifier.
     *
     * @param requestId The identifier of the request.
     * @param node The name of the node that the caller connected to.
     * @param idempotent Whether the caller marked the request as idempotent.
     * @param sentAt The time at which the caller began to send.
     * @param endedAt The time at which the attempt ended.
     * @param end How the attempt ended.
     * @param own Whether a received answer belongs to this request.
     * @param whole Whether a received answer is complete.
     * @param detail The status or error, for diagnosis.
     */
    record CallerAttempt(
            String requestId,
            String node,
            boolean idempotent,
            long sentAt,
            long endedAt,
            AttemptEnd end,
            boolean own,
            boolean whole,
            String detail)
            implements Observation {}

    /**
     * One run of a request at an endpoint. A later observation of the same run replaces an earlier one.
     *
     * @param endpoint The name or address of the endpoint.
     * @param run The unique identifier of the run.
     * @param requestId The identifier that the request carried.
     * @param startedAt The time at which the endpoint accepted the request.
     * @param completed Whether the endpoint completed the run.
     * @param generated The tokens that an engine generated, with the weight versions that actually produced them, or
     *     empty.
     */
    record EndpointRun(
            String endpoint, String run, String requestId, long startedAt, boolean completed, List<Segment> generated)
            implements Observation {

        /**
         * Copies the segments.
         *
         * @param endpoint The name or address of the endpoint.
         * @param run The unique identifier of the run.
         * @param requestId The identifier that the request carried.
         * @param startedAt The time at which the endpoint accepted the request.
         * @param completed Whether the endpoint completed the run.
         * @param generated The tokens that an engine generated, or {@code null}.
         */
        public EndpointRun {
            generated = generated == null ? List.of() : List.copyOf(generated);
        }
    }

    /**
     * An endpoint refused a request because it is leaving.
     *
     * @param endpoint The name or address of the endpoint.
     * @param requestId The identifier that the request carried.
     * @param refusedAt The time at which the endpoint refused it.
     */
    record EndpointRefused(String endpoint, String requestId, long refusedAt) implements Observation {}

    /**
     * The platform was unreachable, slow, or returned stale answers.
     *
     * @param from A time just before the fault began.
     * @param until A time at which the fault had ended.
     */
    record PlatformFault(long from, long until) implements Observation {}

    /**
     * An endpoint reported that it is leaving.
     *
     * @param endpoint The name or address of the endpoint.
     * @param leftAt The time of its first such report.
     * @param replacedAt The time before which no other process used its address.
     */
    record EndpointLeft(String endpoint, long leftAt, long replacedAt) implements Observation {}

    /**
     * The system accepted a group of a trainer.
     *
     * @param slot The group's slot, with index zero.
     * @param size The number of samples of the group.
     */
    record GroupAccepted(Slot slot, int size) implements Observation {}

    /**
     * A trainer received a sample.
     *
     * @param slot The sample's slot.
     * @param useVersion The version at which the trainer declared that it uses the sample.
     * @param segments The versions that the system reports as having produced the sample.
     * @param text The sample's text.
     */
    record SampleReceived(Slot slot, long useVersion, List<Segment> segments, String text) implements Observation {

        /**
         * Copies the segments.
         *
         * @param slot The sample's slot.
         * @param useVersion The version at which the sample is used.
         * @param segments The versions that the sample is labelled with.
         * @param text The sample's text.
         */
        public SampleReceived {
            segments = List.copyOf(segments);
        }
    }

    /**
     * The system confirmed to an operator that a configuration is accepted.
     *
     * @param generation The generation.
     * @param acceptedAt The time at which the operator received the confirmation.
     */
    record ConfigurationAccepted(long generation, long acceptedAt) implements Observation {}

    /**
     * A reader queried a node for the active generation of the configuration.
     *
     * @param node The name of the node.
     * @param generation The generation that the node reported.
     * @param askedAt The time at which the reader sent the query.
     * @param answeredAt The time at which the reader received the answer.
     */
    record ConfigurationRead(String node, long generation, long askedAt, long answeredAt) implements Observation {}

    /**
     * A node was ordered to stop gracefully.
     *
     * @param node The name of the node.
     * @param from A time just before the order.
     * @param until A time at which its process had ended.
     */
    record PlannedStop(String node, long from, long until) implements Observation {}

    /**
     * A node's process was killed or partitioned, so that callers may lose connections to it.
     *
     * @param node The name of the node.
     * @param from A time just before the fault began.
     * @param until A time at which the fault had ended.
     */
    record NodeCrash(String node, long from, long until) implements Observation {}

    /**
     * The slot of a sample: its position in the work of a trainer.
     *
     * @param trainer The name of the trainer.
     * @param step The step of the trainer.
     * @param group The index of the group in the step.
     * @param index The index of the sample in the group.
     */
    record Slot(String trainer, long step, long group, int index) {

        /**
         * Returns the slot of another sample of this group.
         *
         * @param other The other sample's index.
         * @return The other sample's slot.
         */
        public Slot withIndex(int other) {
            return new Slot(trainer, step, group, other);
        }
    }

    /**
     * A sequence of consecutive tokens that one weight version produced.
     *
     * @param version The version.
     * @param tokens The number of tokens.
     */
    record Segment(long version, int tokens) {}
}
