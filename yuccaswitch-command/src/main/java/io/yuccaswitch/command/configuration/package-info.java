/** Applies new generations of the fleet configuration to the platform, and manages their history. */
package io.yuccaswitch.command.configuration;
