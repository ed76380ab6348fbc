/** A stand-in of the platform's object API, with faults that a test orders through its control interface. */
package io.yuccaswitch.testkit.platform;
