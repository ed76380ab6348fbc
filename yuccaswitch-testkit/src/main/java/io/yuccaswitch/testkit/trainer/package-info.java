/**
 * A stand-in for a trainer, which checks that it receives each sample once, within its staleness bound and labelled.
 */
package io.yuccaswitch.testkit.trainer;
