package io.yuccaswitch.node.entry;

import io.yuccaswitch.core.request.RequestMessage;
import io.yuccaswitch.protocol.PeerMessageRange;
import io.yuccaswitch.protocol.PeerMessageRegistry;
import java.util.List;

/** Registers the messages about requests with their numbers on the wire. */
public final class RequestMessages {

    /** The number of the first message. */
    private static final int FIRST_NUMBER = 40;

    /** The messages in the order of their numbers, which never changes. */
    private static final List<Class<? extends RequestMessage>> TYPES = List.of(
            RequestMessage.Forward.class,
            RequestMessage.Concluded.class,
            RequestMessage.Lookup.class,
            RequestMessage.LookupAnswer.class,
            RequestMessage.KeepAnswer.class);

    /** This class has no instances. */
    private RequestMessages() {}

    /**
     * Registers the messages.
     *
     * @param builder The registry to add to.
     */
    public static void register(PeerMessageRegistry.Builder builder) {
        for (int index = 0; index < TYPES.size(); index++) {
            builder.register(PeerMessageRange.REQUEST, FIRST_NUMBER + index, TYPES.get(index));
        }
    }
}
