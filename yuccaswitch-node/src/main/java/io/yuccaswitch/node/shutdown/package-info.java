/** The graceful shutdown of a node. */
package io.yuccaswitch.node.shutdown;
