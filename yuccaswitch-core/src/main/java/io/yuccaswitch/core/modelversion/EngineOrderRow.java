package io.yuccaswitch.core.modelversion;

import io.yuccaswitch.core.registry.RegisteredEndpoint;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;

/**
 * An engine that is being updated to a version.
 *
 * @param engine The engine.
 * @param model The model.
 * @param version The version.
 * @param stage The current stage.
 * @param dueAt When the next step is due, unless an answer arrives earlier.
 * @param timeoutAt When the update times out and the engine is evaluated again.
 */
record EngineOrderRow(
        RegisteredEndpoint engine,
        String model,
        long version,
        Stage stage,
        MonotonicTime dueAt,
        MonotonicTime timeoutAt) {

    /**
     * Returns the row at another stage.
     *
     * @param next The stage.
     * @param now The current time.
     * @param delay The time until the next step is due.
     * @return The row.
     */
    EngineOrderRow withStage(Stage next, MonotonicTime now, Duration delay) {
        return new EngineOrderRow(engine, model, version, next, now.plus(delay), timeoutAt);
    }

    /**
     * Returns whether the engine may be loading, and so counts towards the limit of concurrent loads.
     *
     * @return {@code false} for an engine that does not answer.
     */
    boolean mayLoad() {
        return stage != Stage.UNREACHABLE && stage != Stage.PROBING;
    }

    /**
     * Returns whether a request for the engine's report is pending.
     *
     * @return {@code true} if a report was requested and has not arrived yet.
     */
    boolean awaitsReport() {
        return stage == Stage.READING || stage == Stage.PROBING;
    }

    /**
     * Returns whether an answer belongs to the order that was sent for this update.
     *
     * @param answer The answer.
     * @return {@code true} if it does.
     */
    boolean isAnsweredBy(OrderEvent.Ordered answer) {
        return stage == Stage.ORDERING && model.equals(answer.model()) && version == answer.version();
    }

    /** The stages of an update. */
    enum Stage {
        /** The engine's report was requested. */
        READING,
        /** The next report is requested at the due time. */
        WAITING,
        /** The engine did not answer. Its report is requested again at the due time. */
        UNREACHABLE,
        /** The report of an engine that did not answer was requested again. */
        PROBING,
        /** The order was sent. */
        ORDERING,
        /** The engine is loading the version. */
        LOADING
    }
}
