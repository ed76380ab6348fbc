package io.yuccaswitch.core.sample;

import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.request.RequestId;
import io.yuccaswitch.core.time.MonotonicTime;
import java.util.Optional;

/**
 * The state of one sample of a group at this node.
 *
 * @param phase The phase of the sample.
 * @param attempts The number of generations that were started.
 * @param notBefore The time before which no generation or scoring is started for the sample. In the phase
 *     {@link Phase#VERIFYING}, the time since which its label waits for a reading.
 * @param request The request in progress, or empty if there is none.
 * @param startedAt The time at which the latest generation started.
 * @param sample The generated sample, or empty if there is none yet.
 * @param endpoint The endpoint that generated the sample, or empty if there is none yet.
 */
record Slot(
        Phase phase,
        int attempts,
        MonotonicTime notBefore,
        Optional<RequestId> request,
        MonotonicTime startedAt,
        Optional<Sample> sample,
        Optional<EndpointName> endpoint) {

    /** The phase of a sample. */
    enum Phase {
        /** The sample waits for its generation. */
        WAITING,
        /** The sample is being generated. */
        GENERATING,
        /** The sample is generated, and its label waits for a reading of the engine's versions. */
        VERIFYING,
        /** The sample waits for its score. */
        UNSCORED,
        /** The sample is being scored. */
        SCORING,
        /** The sample is finished. */
        FINISHED
    }

    /**
     * Creates the initial state of a sample.
     *
     * @return The state.
     */
    static Slot waiting() {
        return new Slot(
                Phase.WAITING,
                0,
                MonotonicTime.ZERO,
                Optional.empty(),
                MonotonicTime.ZERO,
                Optional.empty(),
                Optional.empty());
    }

    /**
     * Returns this slot after its generation started.
     *
     * @param id The identifier of the request.
     * @param now The current time.
     * @return The changed slot.
     */
    Slot withGeneration(RequestId id, MonotonicTime now) {
        return new Slot(
                Phase.GENERATING, attempts + 1, notBefore, Optional.of(id), now, Optional.empty(), Optional.empty());
    }

    /**
     * Returns this slot after it was generated.
     *
     * @param next The next phase.
     * @param generated The sample.
     * @param engine The engine that generated it.
     * @param now The current time.
     * @return The changed slot.
     */
    Slot withSample(Phase next, Sample generated, EndpointName engine, MonotonicTime now) {
        return new Slot(next, attempts, now, Optional.empty(), startedAt, Optional.of(generated), Optional.of(engine));
    }

    /**
     * Returns this slot after it was scored.
     *
     * @param score The score.
     * @return The changed slot.
     */
    Slot withScore(double score) {
        return new Slot(
                Phase.FINISHED,
                attempts,
                notBefore,
                Optional.empty(),
                startedAt,
                sample.map(unscored -> unscored.withScore(score)),
                endpoint);
    }

    /**
     * Returns this slot in another phase, with its sample.
     *
     * @param next The phase.
     * @return The changed slot.
     */
    Slot withPhase(Phase next) {
        return new Slot(next, attempts, notBefore, Optional.empty(), startedAt, sample, endpoint);
    }

    /**
     * Returns this slot after its scoring started.
     *
     * @param id The identifier of the request.
     * @return The changed slot.
     */
    Slot withScoring(RequestId id) {
        return new Slot(Phase.SCORING, attempts, notBefore, Optional.of(id), startedAt, sample, endpoint);
    }

    /**
     * Returns this slot while it waits for another scoring.
     *
     * @param time The time before which none is started.
     * @return The changed slot.
     */
    Slot withScoringRetry(MonotonicTime time) {
        return new Slot(Phase.UNSCORED, attempts, time, Optional.empty(), startedAt, sample, endpoint);
    }

    /**
     * Returns this slot while it waits for another generation, without its sample.
     *
     * @param time The time before which none is started.
     * @return The changed slot.
     */
    Slot withGenerationRetry(MonotonicTime time) {
        return new Slot(Phase.WAITING, attempts, time, Optional.empty(), startedAt, Optional.empty(), Optional.empty());
    }
}
