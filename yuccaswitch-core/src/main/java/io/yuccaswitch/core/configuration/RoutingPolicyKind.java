package io.yuccaswitch.core.configuration;

/** A policy that selects an endpoint among candidates. */
public enum RoutingPolicyKind {
    /** Selects a random endpoint. */
    RANDOM,
    /** Selects the endpoints in turn. */
    ROUND_ROBIN,
    /** Selects the endpoint with the fewest requests of this node in progress. */
    LEAST_IN_FLIGHT,
    /** Selects the less loaded of two random candidates. */
    POWER_OF_TWO_CHOICES,
    /** Selects by an estimate in which the duration of an iteration grows linearly with the active requests. */
    ITERATION_TIME_ESTIMATE
}
