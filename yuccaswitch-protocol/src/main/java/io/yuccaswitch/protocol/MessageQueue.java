package io.yuccaswitch.protocol;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/** The messages that wait for one peer, bounded by number and by bytes. The oldest ones give way to new ones. */
final class MessageQueue {

    /** The largest number of messages. */
    private final int maximumMessages;

    /** The largest number of bytes. */
    private final long maximumBytes;

    /** The messages, oldest first. */
    private final Deque<QueuedMessage> messages = new ArrayDeque<>();

    /** The number of bytes of all messages. */
    private long bytes;

    /**
     * Creates a new queue.
     *
     * @param maximumMessages The largest number of messages.
     * @param maximumBytes The largest number of bytes.
     */
    MessageQueue(int maximumMessages, long maximumBytes) {
        this.maximumMessages = maximumMessages;
        this.maximumBytes = maximumBytes;
    }

    /**
     * Adds a message and drops the oldest ones as long as there are too many.
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
     * Puts a message back in front that was taken out and not sent.
     *
     * @param message The message.
     */
    void putBack(QueuedMessage message) {
        messages.addFirst(message);
        bytes += message.frame().size();
    }

    /**
     * Takes out the oldest message.
     *
     * @return The oldest message, or empty if there is none.
     */
    Optional<QueuedMessage> poll() {
        Optional<QueuedMessage> first = Optional.ofNullable(messages.pollFirst());
        first.ifPresent(message -> bytes -= message.frame().size());
        return first;
    }

    /**
     * Takes out all messages.
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
     * Returns whether no message waits.
     *
     * @return {@code true} if no message waits.
     */
    boolean isEmpty() {
        return messages.isEmpty();
    }
}
