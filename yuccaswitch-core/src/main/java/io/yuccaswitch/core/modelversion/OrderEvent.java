package io.yuccaswitch.core.modelversion;

import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.identity.EndpointName;
import java.util.Optional;

/** Answers of engines to report requests and orders, and the notices of loads. */
public sealed interface OrderEvent extends Event {

    /**
     * A request for a report has completed.
     *
     * @param engine The engine.
     * @param report The report, or empty if the engine did not answer.
     */
    record ReportRead(EndpointName engine, Optional<EngineReport> report) implements OrderEvent {}

    /**
     * An order was sent.
     *
     * @param engine The engine.
     * @param model The model of the order.
     * @param version The version of the order.
     * @param outcome The outcome.
     */
    record Ordered(EndpointName engine, String model, long version, OrderOutcome outcome) implements OrderEvent {}

    /**
     * This node, which gives the orders, has announced or ended a load. Its own batch system handles it as a message.
     *
     * @param message The message to the other nodes.
     */
    record LoadNotified(OrderMessage message) implements OrderEvent {}
}
