package io.yuccaswitch.core.peer;

/**
 * A message from one node to another. Each concept declares its own sealed sub-interface with its messages as nested
 * records of plain values. The protocol module assigns each record its number on the wire.
 */
public interface PeerMessage {}
