/** The subcommands of the operators' command. */
package io.yuccaswitch.command.subcommand;
