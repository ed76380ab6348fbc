/** A TCP proxy that stands between two processes and injects faults of the network. */
package io.yuccaswitch.testkit.proxy;
