package io.yuccaswitch.core.batch;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * The stored text of an item at its runner: a beginning and parts that continue it, all of the same sequence of runs.
 * The object that contains the beginning identifies the chain, as the platform creates each object once.
 */
final class TextChain {

    /** The item. */
    private final RunningItem item;

    /** How often the item had discarded received events when the chain began. */
    private final int discardedTexts;

    /** The number of the object that contains the beginning, once it is known to be stored. */
    private OptionalInt beginning = OptionalInt.empty();

    /** The identifier of the event that precedes the events that are not stored. */
    private long after;

    /** The events that are not known to be stored, and are not being written. */
    private ItemText unwritten = ItemText.EMPTY;

    /** The identifier of the last event. */
    private long lastEventId;

    /** The number of the attempt that added the last events. */
    private int attempt;

    /**
     * Creates a chain without events.
     *
     * @param item The item.
     */
    TextChain(RunningItem item) {
        this.item = item;
        discardedTexts = item.discardedTexts();
    }

    /**
     * Returns whether the chain belongs to the events that the item has received since it last discarded some.
     *
     * @return {@code true} if it does.
     */
    boolean isCurrent() {
        return discardedTexts == item.discardedTexts();
    }

    /**
     * Returns the identifier of the last event.
     *
     * @return The identifier, or 0 before the first event.
     */
    long lastEventId() {
        return lastEventId;
    }

    /**
     * Returns the number of the attempt that added the last events.
     *
     * @return The number, or 0 before the first event.
     */
    int attempt() {
        return attempt;
    }

    /**
     * Adds events that directly follow the last one.
     *
     * @param addingAttempt The number of the attempt.
     * @param events The events.
     */
    void add(int addingAttempt, ItemText events) {
        unwritten = unwritten.append(events);
        lastEventId = unwritten.isEmpty() ? lastEventId : unwritten.lastEventId();
        attempt = addingAttempt;
    }

    /**
     * Returns the size of the events that have to be written.
     *
     * @return The size in bytes.
     */
    long unwrittenBytes() {
        return unwritten.events().stream().mapToLong(event -> event.size()).sum();
    }

    /**
     * Removes the events that have to be written.
     *
     * @return A part with these events, or empty if there are none.
     */
    Optional<TextPart> take() {
        if (unwritten.isEmpty()) {
            return Optional.empty();
        }
        TextPart part = new TextPart(item.item().id(), beginning, after, unwritten);
        after = unwritten.lastEventId();
        unwritten = ItemText.EMPTY;
        return Optional.of(part);
    }

    /**
     * Records that a part is stored.
     *
     * @param part The part.
     * @param number The number of the object that contains it.
     */
    void recordStored(TextPart part, int number) {
        if (part.isBeginning()) {
            beginning = OptionalInt.of(number);
        }
    }

    /**
     * Puts back a part that is not known to be stored, before the events that were added in the meantime.
     *
     * @param part The part.
     */
    void putBack(TextPart part) {
        after = part.after();
        unwritten = part.text().append(unwritten);
    }
}
