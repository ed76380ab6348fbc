/**
 * Distributes generations of the configuration to all nodes: from the platform to a few watchers, and from node to
 * node.
 */
package io.yuccaswitch.core.configuration.distribution;
