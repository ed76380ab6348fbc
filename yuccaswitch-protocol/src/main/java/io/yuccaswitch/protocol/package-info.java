/**
 * The protocol between nodes: messages of the decision core as length-framed MessagePack over TCP, and the transport
 * that carries them on one thread.
 */
package io.yuccaswitch.protocol;
