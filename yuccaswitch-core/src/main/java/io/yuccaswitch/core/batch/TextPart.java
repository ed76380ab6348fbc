package io.yuccaswitch.core.batch;

/**
 * A part of the text of an item in progress.
 *
 * @param item The item's identifier.
 * @param after The identifier of the event that precedes the part, or 0 for a text from its beginning.
 * @param text The events of the part. Its last event identifier is that of the complete text.
 */
public record TextPart(String item, long after, ItemText text) {

    /**
     * Joins a later part of the same text.
     *
     * @param later The later part.
     * @return Both parts as one, or only the later part if it does not directly follow this one.
     */
    TextPart join(TextPart later) {
        return later.after() == text.lastEventId() && later.after() > 0
                ? new TextPart(item, after, text.append(later.text()))
                : later;
    }

    /**
     * Returns the size of the events.
     *
     * @return The size in bytes.
     */
    long bytes() {
        return text.events().stream().mapToLong(event -> event.size()).sum();
    }
}
