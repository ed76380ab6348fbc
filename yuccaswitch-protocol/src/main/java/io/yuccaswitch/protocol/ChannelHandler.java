package io.yuccaswitch.protocol;

import java.io.IOException;

/** Handles the I/O events of one channel on the transport's thread. */
interface ChannelHandler {

    /**
     * Called when the channel is ready for an operation that this handler is interested in.
     *
     * @param now The monotonic time in nanoseconds.
     * @throws IOException If the channel failed.
     */
    void ready(long now) throws IOException;

    /**
     * Called when the channel failed.
     *
     * @param reason The reason, for logs.
     * @param now The monotonic time in nanoseconds.
     */
    void failed(String reason, long now);
}
