/** The protocol between nodes: length-framed MessagePack messages over TCP. */
package io.yuccaswitch.protocol;
