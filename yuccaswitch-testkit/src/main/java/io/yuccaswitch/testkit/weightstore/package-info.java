/** A stand-in for the rate-limited weight store. */
package io.yuccaswitch.testkit.weightstore;
