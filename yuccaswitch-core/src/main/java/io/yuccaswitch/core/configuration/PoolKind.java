package io.yuccaswitch.core.configuration;

/** What the endpoints of a pool are. */
public enum PoolKind {
    /** Model engines. */
    ENGINE,
    /** Plain services. */
    SERVICE
}
