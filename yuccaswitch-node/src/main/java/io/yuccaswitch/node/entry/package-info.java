/**
 * The HTTP interface for callers. It turns HTTP requests into events of the decision core and the core's outcomes into
 * HTTP answers; only the core decides to which endpoint a request is sent and how often.
 */
package io.yuccaswitch.node.entry;
