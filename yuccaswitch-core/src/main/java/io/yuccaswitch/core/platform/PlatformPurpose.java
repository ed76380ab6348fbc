package io.yuccaswitch.core.platform;

/** The purpose of a call to the platform. Calls are counted and limited by purpose. */
public enum PlatformPurpose {
    /** Reading, watching and accepting the fleet's configuration. */
    CONFIGURATION,
    /** Acquiring, renewing and releasing leases. */
    LEASE,
    /** Announcements and states of weight versions. */
    WEIGHT,
    /** Accepted groups, and cursors of trainers. */
    SAMPLE,
    /** Request identifiers that callers chose themselves. */
    REQUEST,
    /** The platform's list of VMs, and the objects in which a starting node finds its peers. */
    MEMBERSHIP,
    /** The registry in which endpoints register their addresses. */
    DISCOVERY,
    /** Accepted batch jobs and their results. */
    BATCH,
    /** Requests during which endpoints ended. */
    QUARANTINE,
    /** Reports of the usage of each client account. */
    USAGE
}
