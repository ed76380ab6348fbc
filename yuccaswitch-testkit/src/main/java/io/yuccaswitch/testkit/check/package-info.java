/**
 * Checks the promises of the system against observations that callers, trainers and endpoints recorded themselves,
 * independently of anything that the system reports.
 */
package io.yuccaswitch.testkit.check;
