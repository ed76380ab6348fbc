/** Structured logs: one line for each event, as key=value pairs or as JSON. */
package io.yuccaswitch.node.logging;
