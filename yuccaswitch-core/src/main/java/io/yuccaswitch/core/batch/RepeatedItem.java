package io.yuccaswitch.core.batch;

/**
 * An item whose result is listed again.
 *
 * @param item The identifier of the item.
 * @param position The position of the later result.
 * @param earlierPosition The position of the first result.
 */
public record RepeatedItem(String item, int position, int earlierPosition) {}
