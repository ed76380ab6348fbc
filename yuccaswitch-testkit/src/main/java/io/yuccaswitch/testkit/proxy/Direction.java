package io.yuccaswitch.testkit.proxy;

/** The directions in which a link forwards bytes. */
public enum Direction {
    /** From the process that connected to the target. */
    UP,
    /** From the target to the process that connected. */
    DOWN
}
