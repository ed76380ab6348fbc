package io.yuccaswitch.core.platform;

/** What a call to the platform is made for. Calls are counted and limited by purpose. */
public enum PlatformPurpose {
    /** Reading, watching and accepting the fleet's configuration. */
    CONFIGURATION,
    /** Acquiring, renewing and releasing leases. */
    LEASE,
    /** Announcements and states of weight versions. */
    WEIGHT,
    /** Accepted groups, and cursors of trainers. */
    SAMPLE,
    /** Request identifiers that callers made themselves. */
    REQUEST,
    /** The platform's list of VMs, and where a starting node finds its peers. */
    MEMBERSHIP,
    /** The registry in which endpoints say where they are. */
    DISCOVERY,
    /** Accepted batch jobs and their results. */
    BATCH,
    /** Requests under which endpoints ended. */
    QUARANTINE,
    /** Reports of how much each client account uses. */
    USAGE
}
