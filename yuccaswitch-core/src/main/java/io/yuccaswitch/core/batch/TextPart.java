package io.yuccaswitch.core.batch;

import java.util.OptionalInt;

/**
 * A part of the text of an item in progress. Different runners of a job, and different runs of an item, generate
 * different events under the same identifiers, so a part names the text that it continues.
 *
 * @param item The item's identifier.
 * @param beginning The number of the object that contains the beginning of the same text. It is empty in a part that is
 *     itself a beginning, and in parts of earlier releases, of which only beginnings can be used.
 * @param after The identifier of the event that precedes the part, or 0 for a text from its beginning.
 * @param text The events of the part. Its last event identifier is that of the complete text.
 */
public record TextPart(String item, OptionalInt beginning, long after, ItemText text) {

    /**
     * Returns whether the part is the beginning of a text.
     *
     * @return {@code true} if no event precedes it.
     */
    boolean isBeginning() {
        return after == 0;
    }
}
