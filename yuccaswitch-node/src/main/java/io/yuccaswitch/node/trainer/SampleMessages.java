package io.yuccaswitch.node.trainer;

import io.yuccaswitch.core.sample.SampleMessage;
import io.yuccaswitch.protocol.PeerMessageRange;
import io.yuccaswitch.protocol.PeerMessageRegistry;
import java.util.List;

/** Registers the messages about samples with their numbers on the wire. */
public final class SampleMessages {

    /** The number of the first message. */
    private static final int FIRST_NUMBER = 60;

    /** The messages in the order of their numbers, which never changes. */
    private static final List<Class<? extends SampleMessage>> TYPES = List.of(
            SampleMessage.Store.class,
            SampleMessage.Stored.class,
            SampleMessage.StoreRefused.class,
            SampleMessage.Keep.class,
            SampleMessage.Kept.class,
            SampleMessage.Reconcile.class,
            SampleMessage.Reconciled.class,
            SampleMessage.Discarded.class,
            SampleMessage.Pull.class,
            SampleMessage.PullAnswered.class,
            SampleMessage.PullRefused.class,
            SampleMessage.Acknowledge.class,
            SampleMessage.AskCursor.class,
            SampleMessage.CursorKnown.class,
            SampleMessage.Progress.class);

    /** This class has no instances. */
    private SampleMessages() {}

    /**
     * Registers the messages.
     *
     * @param builder The registry to add to.
     */
    public static void register(PeerMessageRegistry.Builder builder) {
        for (int index = 0; index < TYPES.size(); index++) {
            builder.register(PeerMessageRange.SAMPLE, FIRST_NUMBER + index, TYPES.get(index));
        }
    }
}
