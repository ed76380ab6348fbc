/** Calls the operator interface of nodes. */
package io.yuccaswitch.command.operator;
