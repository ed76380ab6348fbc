/** The messages between nodes and the addresses to which they are sent. */
package io.yuccaswitch.node.peer;
