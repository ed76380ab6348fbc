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

    /** What is in progress at an engine. */
    enum Stage {
        /** The engine's report was asked for. */
        READING,
        /** The next report is asked for at the due time. */
        WAITING,
        /** The order was sent. */
        ORDERING,
        /** The engine loads the version. */
        LOADING
    }
}
