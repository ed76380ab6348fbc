/** A stand-in of a trainer, which takes samples and checks that each one comes once, fresh and labelled. */
package io.yuccaswitch.testkit.trainer;
