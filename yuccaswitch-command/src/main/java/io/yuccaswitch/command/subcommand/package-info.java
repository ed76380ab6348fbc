/** The subcommands of the command-line tool for operators. */
package io.yuccaswitch.command.subcommand;
