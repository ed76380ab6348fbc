package io.yuccaswitch.core.batch;

import java.util.HashMap;
import java.util.Map;

/** The texts of a job's items in progress, joined from the parts that an earlier runner has kept. */
final class KeptTexts {

    /** The texts, by item. */
    private final Map<String, ItemText> texts = new HashMap<>();

    /**
     * Takes a part. One that follows or overlaps what is known is joined, and one behind a gap is left out.
     *
     * @param part The part.
     */
    void take(TextPart part) {
        ItemText known = texts.getOrDefault(part.item(), ItemText.EMPTY);
        ItemText text = part.text();
        if (part.after() == 0) {
            texts.put(part.item(), text);
        } else if (part.after() <= known.lastEventId() && text.lastEventId() > known.lastEventId()) {
            texts.put(part.item(), known.append(text.behind(known.lastEventId())));
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
