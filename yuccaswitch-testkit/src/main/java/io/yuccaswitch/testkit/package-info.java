/**
 * Stand-ins for the external systems of the service, a fault-injecting TCP proxy, a load generator and a checker of
 * promises.
 */
package io.yuccaswitch.testkit;
