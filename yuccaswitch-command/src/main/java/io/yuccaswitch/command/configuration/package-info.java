/** Acceptance of new generations of the fleet's configuration on the platform, and their history. */
package io.yuccaswitch.command.configuration;
