package io.yuccaswitch.core.lease;

/**
 * The composition of fencing numbers. A number consists of a base and a slot. The base is the platform's version of the
 * write that acquired the lease: the platform never assigns a version twice, so no two acquisitions share a base, even
 * if the object was deleted in between. The slot counts changes of the holder while the platform is unreachable, and
 * the platform's record defines in advance which node owns each slot. Hence no number is ever owned by two nodes.
 */
final class FencingNumbers {

    /** The number of slots of a base. */
    static final int SLOTS = 64;

    /** This class has no instances. */
    private FencingNumbers() {}

    /**
     * Composes a fencing number.
     *
     * @param base The base.
     * @param slot The slot.
     * @return The fencing number.
     */
    static long of(long base, int slot) {
        return base * SLOTS + slot;
    }

    /**
     * Returns the base of a fencing number.
     *
     * @param number The fencing number.
     * @return The base.
     */
    static long base(long number) {
        return number / SLOTS;
    }

    /**
     * Returns the slot of a fencing number.
     *
     * @param number The fencing number.
     * @return The slot.
     */
    static int slot(long number) {
        return (int) (number % SLOTS);
    }
}
