/** The command-line tool for operators. */
package io.yuccaswitch.command;
