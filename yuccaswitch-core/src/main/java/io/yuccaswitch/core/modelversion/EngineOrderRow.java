package io.yuccaswitch.core.modelversion;

import io.yuccaswitch.core.registry.RegisteredEndpoint;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;

/**
 * An engine that is being brought to a version.
 *
 * @param engine The engine.
 * @param model The model.
 * @param version The version.
 * @param stage What is in progress.
 * @param dueAt When the next step is due, unless an answer comes first.
 * @param givenUpAt When the engine is looked at anew.
 */
record EngineOrderRow(
        RegisteredEndpoint engine,
        String model,
        long version,
        Stage stage,
        MonotonicTime dueAt,
        MonotonicTime givenUpAt) {

    /**
     * Returns the row at another stage.
     *
     * @param next The stage.
     * @param now The present.
     * @param time How long the stage may take.
     * @return The row.
     */
    EngineOrderRow withStage(Stage next, MonotonicTime now, Duration time) {
        return new EngineOrderRow(engine, model, version, next, now.plus(time), givenUpAt);
    }

    /**
     * Returns whether the engine may load, such that it counts towards those that load at once.
     *
     * @return {@code false} for an engine that does not answer.
     */
    boolean mayLoad() {
        return stage != Stage.UNREACHABLE && stage != Stage.PROBING;
    }

    /**
     * Returns whether the engine was asked for its report.
     *
     * @return {@code true} if it was, and has not answered yet.
     */
    boolean awaitsReport() {
        return stage == Stage.READING || stage == Stage.PROBING;
    }

    /** What is in progress at an engine. */
    enum Stage {
        /** The engine's report was asked for. */
        READING,
        /** The next report is asked for at the due time. */
        WAITING,
        /** The engine did not answer. It is asked again at the due time. */
        UNREACHABLE,
        /** The engine, which did not answer before, was asked for its report again. */
        PROBING,
        /** The order was sent. */
        ORDERING,
        /** The engine loads the version. */
        LOADING
    }
}
