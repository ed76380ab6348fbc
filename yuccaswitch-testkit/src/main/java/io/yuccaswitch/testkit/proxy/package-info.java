/** A TCP proxy between processes that injects network faults. */
package io.yuccaswitch.testkit.proxy;
