/** Structured logs: one line per event, as key=value pairs or as JSON. */
package io.yuccaswitch.node.logging;
