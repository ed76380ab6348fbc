package io.yuccaswitch.testkit.proxy;

/** The directions in which a link forwards data. */
public enum Direction {
    /** From the connecting process to the target. */
    UP,
    /** From the target to the connecting process. */
    DOWN
}
