/** How generations of the configuration reach all nodes: by few watchers, and from node to node. */
package io.yuccaswitch.core.configuration.distribution;
