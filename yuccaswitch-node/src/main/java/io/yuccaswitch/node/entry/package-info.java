/**
 * The HTTP interface for callers. It turns HTTP requests into events of the decision core and the core's outcomes into
 * HTTP answers; which request is sent where and how often is decided in the core alone.
 */
package io.yuccaswitch.node.entry;
