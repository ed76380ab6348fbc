package io.yuccaswitch.core.batch;

import io.yuccaswitch.core.identity.EndpointName;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Limits the items that leave slow engines in one tick to the free slots of healthy engines, and to a quarter of the
 * free slots of each. Other nodes move items off the same engine at the same time, and new items need slots too: items
 * that all went to the remaining engines were refused there, or shared one engine.
 */
final class MoveAllowance {

    /** The part of a destination's free slots, as a divisor, that moved items may take in one tick. */
    private static final int FREE_SLOT_DIVISOR = 4;

    /** The number of items that are counted at each destination. */
    private final Map<EndpointName, Long> taken = new HashMap<>();

    /** The number of items that are already moving and are not counted at a destination yet. */
    private long moving;

    /**
     * Creates an allowance.
     *
     * @param moving The number of items that are already moving.
     */
    MoveAllowance(long moving) {
        this.moving = moving;
    }

    /**
     * Takes a slot for an item.
     *
     * @param freeSlots The free slots of the healthy engines that may run the item.
     * @return Whether one of them has a slot left in this tick.
     */
    boolean take(Map<EndpointName, Long> freeSlots) {
        while (moving > 0) {
            if (!count(freeSlots)) {
                return false;
            }
            moving--;
        }
        return count(freeSlots);
    }

    /**
     * Counts an item at the destination with the most slots left.
     *
     * @param freeSlots The free slots of the destinations.
     * @return Whether a destination had a slot left.
     */
    private boolean count(Map<EndpointName, Long> freeSlots) {
        Optional<EndpointName> destination = freeSlots.keySet().stream()
                .filter(engine -> left(engine, freeSlots) > 0)
                .max(Comparator.comparingLong((EndpointName engine) -> left(engine, freeSlots))
                        .thenComparing(Comparator.reverseOrder()));
        destination.ifPresent(engine -> taken.merge(engine, 1L, Long::sum));
        return destination.isPresent();
    }

    /**
     * Returns the number of slots of a destination that are left in this tick.
     *
     * @param engine The destination.
     * @param freeSlots The free slots of the destinations.
     * @return The number. A destination with any free slot provides at least one.
     */
    private long left(EndpointName engine, Map<EndpointName, Long> freeSlots) {
        long quarter = (freeSlots.get(engine) + FREE_SLOT_DIVISOR - 1) / FREE_SLOT_DIVISOR;
        return quarter - taken.getOrDefault(engine, 0L);
    }
}
