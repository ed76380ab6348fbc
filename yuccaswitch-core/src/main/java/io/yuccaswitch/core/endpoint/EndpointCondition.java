package io.yuccaswitch.core.endpoint;

/** Whether an endpoint takes new work. */
public enum EndpointCondition {
    /** The endpoint takes new work. */
    LIVE,
    /** The endpoint finishes what it has and takes no new work. */
    LEAVING,
    /** The endpoint can't be reached or refuses everything. */
    DOWN
}
