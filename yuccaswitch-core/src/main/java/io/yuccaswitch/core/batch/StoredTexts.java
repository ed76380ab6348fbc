package io.yuccaswitch.core.batch;

import java.util.HashMap;
import java.util.Map;

/** The texts of a job's items in progress, joined from the parts that an earlier runner stored. */
final class StoredTexts {

    /** The texts, by item. */
    private final Map<String, ItemText> texts = new HashMap<>();

    /**
     * Adds a part. A part that follows or overlaps the current text is joined to it, and a part after a gap is ignored.
     *
     * @param part The part.
     */
    void add(TextPart part) {
        ItemText current = texts.getOrDefault(part.item(), ItemText.EMPTY);
        ItemText text = part.text();
        if (part.after() == 0) {
            texts.put(part.item(), text);
        } else if (part.after() <= current.lastEventId() && text.lastEventId() > current.lastEventId()) {
            texts.put(part.item(), current.append(text.eventsAfter(current.lastEventId())));
        }
    }

    /**
     * Returns the texts.
     *
     * @return The texts, by item.
     */
    Map<String, ItemText> all() {
        return Map.copyOf(texts);
    }
}
