/**
 * Judges the promises of the system from what callers, trainers and endpoints recorded themselves, without trusting
 * anything that the system says.
 */
package io.yuccaswitch.testkit.check;
