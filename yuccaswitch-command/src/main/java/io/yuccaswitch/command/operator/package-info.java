/** Calls to the operators' interface of nodes. */
package io.yuccaswitch.command.operator;
