package io.yuccaswitch.core.modelversion;

import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.identity.EndpointName;
import java.util.Optional;

/** Answers of engines about their versions. */
public sealed interface OrderEvent extends Event {

    /**
     * A report was asked for.
     *
     * @param engine The engine.
     * @param report The report, or empty if none arrived.
     */
    record ReportRead(EndpointName engine, Optional<EngineReport> report) implements OrderEvent {}

    /**
     * An order was given.
     *
     * @param engine The engine.
     * @param outcome What the engine answered.
     */
    record Ordered(EndpointName engine, OrderOutcome outcome) implements OrderEvent {}
}
