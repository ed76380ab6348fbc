/**
 * The protocol between nodes: messages of the decision core as length-prefixed MessagePack over TCP, and the transport
 * that exchanges them on one thread.
 */
package io.yuccaswitch.protocol;
