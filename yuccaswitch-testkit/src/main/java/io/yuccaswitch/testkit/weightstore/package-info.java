/** A stand-in of the rate-limited weight store. */
package io.yuccaswitch.testkit.weightstore;
