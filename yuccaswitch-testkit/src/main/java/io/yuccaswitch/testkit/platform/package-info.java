/** A stand-in for the platform's object API, with faults that a test injects through its control interface. */
package io.yuccaswitch.testkit.platform;
