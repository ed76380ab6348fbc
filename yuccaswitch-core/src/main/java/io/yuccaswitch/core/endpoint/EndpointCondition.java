package io.yuccaswitch.core.endpoint;

/** The condition of an endpoint. */
public enum EndpointCondition {
    /** The endpoint accepts new requests. */
    LIVE,
    /** The endpoint finishes its current requests and accepts no new ones. */
    LEAVING,
    /** The endpoint is unreachable or rejects all requests. */
    DOWN
}
