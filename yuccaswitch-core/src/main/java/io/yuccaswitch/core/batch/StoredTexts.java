package io.yuccaswitch.core.batch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;

/**
 * The texts of a job's items in progress, joined from the parts that earlier runners stored. An item may have several
 * texts: each begins with the first events, and only parts of the same text are joined.
 */
final class StoredTexts {

    /** The texts, by their beginnings. */
    private final Map<Beginning, ItemText> texts = new HashMap<>();

    /**
     * Adds the part of an object. A part that follows or overlaps the stored events of its text is joined to them, and
     * a part after a gap, or of an unknown text, is ignored.
     *
     * @param object The number of the object. Objects are added in ascending order.
     * @param part The part.
     */
    void add(int object, TextPart part) {
        if (part.isBeginning()) {
            texts.put(new Beginning(part.item(), object), part.text());
        } else if (part.beginning().isPresent()) {
            texts.computeIfPresent(
                    new Beginning(part.item(), part.beginning().getAsInt()),
                    (_beginning, current) -> continued(current, part));
        }
    }

    /**
     * Adds the parts of an object.
     *
     * @param name The name of the object. Parts of an object without a number are ignored.
     * @param parts The parts.
     */
    void addAll(String name, List<TextPart> parts) {
        OptionalInt number = BatchObjects.number(name);
        if (number.isPresent()) {
            parts.forEach(part -> add(number.getAsInt(), part));
        }
    }

    /**
     * Returns the texts of each item.
     *
     * @return The texts by item, with the longest text of an item first and, among those of equal length, the latest.
     */
    Map<String, List<ItemText>> all() {
        Comparator<Map.Entry<Beginning, ItemText>> byLength =
                Comparator.comparingLong(text -> text.getValue().lastEventId());
        Comparator<Map.Entry<Beginning, ItemText>> byBeginning =
                Comparator.comparingInt(text -> text.getKey().object());
        Map<String, List<ItemText>> byItem = new HashMap<>();
        texts.entrySet().stream()
                .sorted(byLength.thenComparing(byBeginning).reversed())
                .forEach(text -> byItem.computeIfAbsent(text.getKey().item(), _item -> new ArrayList<>())
                        .add(text.getValue()));
        return byItem;
    }

    /**
     * Joins a part to the events of its text.
     *
     * @param current The events.
     * @param part The part.
     * @return The joined events, or the current ones if the part adds none or follows a gap.
     */
    private static ItemText continued(ItemText current, TextPart part) {
        boolean adds = part.after() <= current.lastEventId() && part.text().lastEventId() > current.lastEventId();
        return adds ? current.append(part.text().eventsAfter(current.lastEventId())) : current;
    }

    /**
     * Identifies a text.
     *
     * @param item The item's identifier.
     * @param object The number of the object that contains the beginning of the text.
     */
    private record Beginning(String item, int object) {}
}
