package io.yuccaswitch.core.configuration;

/** A policy that picks an endpoint among candidates. */
public enum RoutingPolicyKind {
    /** Picks at random. */
    RANDOM,
    /** Picks one after the other. */
    ROUND_ROBIN,
    /** Picks the endpoint with the least requests of this node in progress. */
    LEAST_IN_FLIGHT,
    /** Picks the less loaded of two random candidates. */
    POWER_OF_TWO_CHOICES,
    /** Picks by an estimate in which the time of an iteration grows linearly with the active requests. */
    ITERATION_TIME_ESTIMATE
}
