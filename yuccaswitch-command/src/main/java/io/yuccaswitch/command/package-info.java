/** The command that operators use. */
package io.yuccaswitch.command;
