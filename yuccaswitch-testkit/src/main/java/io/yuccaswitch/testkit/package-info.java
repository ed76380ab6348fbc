/** Small stand-ins for the systems around the service, and a fault-injecting TCP proxy. */
package io.yuccaswitch.testkit;
