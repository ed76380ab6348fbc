/** The shell of the messages between nodes. */
package io.yuccaswitch.node.peer;
