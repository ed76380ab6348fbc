package io.yuccaswitch.core.configuration;

/** The kind of a pool's endpoints. */
public enum PoolKind {
    /** Model engines. */
    ENGINE,
    /** Plain services. */
    SERVICE
}
