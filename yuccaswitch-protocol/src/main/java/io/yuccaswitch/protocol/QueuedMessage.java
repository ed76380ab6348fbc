package io.yuccaswitch.protocol;

import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.peer.PeerMessage;
import io.yuccaswitch.core.value.Bytes;
import java.util.Optional;

/**
 * A message that is queued for a connection.
 *
 * @param target The node that the message is for, or empty if it is for whichever node listens at the address.
 * @param message The message.
 * @param frame The message as a frame.
 */
record QueuedMessage(Optional<NodeName> target, PeerMessage message, Bytes frame) {}
