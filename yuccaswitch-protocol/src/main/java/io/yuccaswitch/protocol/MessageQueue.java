package io.yuccaswitch.protocol;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/** The queue of messages for one peer, bounded by number and by bytes. New messages displace the oldest ones. */
final class MessageQueue {

    /** The maximum number of messages. */
    private final int maximumMessages;

    /** The maximum number of bytes. */
    private final long maximumBytes;

    /** The messages, oldest first. */
    private final Deque<QueuedMessage> messages = new ArrayDeque<>();

    /** The total size of all messages in bytes. */
    private long bytes;

    /**
     * Creates a new queue.
     *
     * @param maximumMessages The maximum number of messages.
     * @param maximumBytes The maximum number of bytes.
     */
    MessageQueue(int maximumMessages, long maximumBytes) {
        this.maximumMessages = maximumMessages;
        this.maximumBytes = maximumBytes;
    }

    /**
     * Adds a message and drops the oldest ones while the queue exceeds a limit. The newest message is always kept.
     *
     * @param message The message to add.
     * @return The messages that were dropped.
     */
    List<QueuedMessage> add(QueuedMessage message) {
        messages.addLast(message);
        bytes += message.frame().size();
        List<QueuedMessage> dropped = new ArrayList<>();
        while (messages.size() > 1 && (messages.size() > maximumMessages || bytes > maximumBytes)) {
            poll().ifPresent(dropped::add);
        }
        return dropped;
    }

    /**
     * Returns a message that was removed but not sent to the head of the queue.
     *
     * @param message The message.
     */
    void putBack(QueuedMessage message) {
        messages.addFirst(message);
        bytes += message.frame().size();
    }

    /**
     * Removes the oldest message.
     *
     * @return The oldest message, or empty if there is none.
     */
    Optional<QueuedMessage> poll() {
        Optional<QueuedMessage> first = Optional.ofNullable(messages.pollFirst());
        first.ifPresent(message -> bytes -= message.frame().size());
        return first;
    }

    /**
     * Removes all messages.
     *
     * @return The messages, oldest first.
     */
    List<QueuedMessage> drain() {
        List<QueuedMessage> all = List.copyOf(messages);
        messages.clear();
        bytes = 0;
        return all;
    }

    /**
     * Returns whether the queue is empty.
     *
     * @return {@code true} if the queue is empty.
     */
    boolean isEmpty() {
        return messages.isEmpty();
    }
}
