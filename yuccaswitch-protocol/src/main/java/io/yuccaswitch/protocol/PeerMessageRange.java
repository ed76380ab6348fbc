package io.yuccaswitch.protocol;

/** The numbers that are reserved for the messages of each concept. Number zero is the greeting's. */
public enum PeerMessageRange {
    /** Messages by which nodes keep track of each other. */
    MEMBERSHIP(1, 19),
    /** Messages that distribute the configuration. */
    CONFIGURATION(20, 39),
    /** Messages about requests of callers. */
    REQUEST(40, 59),
    /** Messages about groups, samples and cursors. */
    SAMPLE(60, 79),
    /** Messages about weight versions and leases. */
    WEIGHT(80, 99),
    /** Messages about endpoints. */
    ENDPOINT(100, 119),
    /** Messages about batch jobs. */
    BATCH(120, 139),
    /** Messages by which nodes follow each other's watches of the platform. */
    WATCH(140, 159),
    /** Messages about requests under which endpoints ended. */
    QUARANTINE(160, 179),
    /** Messages about how much each client account uses. */
    USAGE(180, 189);

    /** The first number of the range. */
    private final int first;

    /** The last number of the range. */
    private final int last;

    /**
     * Creates a new range.
     *
     * @param first The first number of the range.
     * @param last The last number of the range.
     */
    PeerMessageRange(int first, int last) {
        this.first = first;
        this.last = last;
    }

    /**
     * Returns the first number of the range.
     *
     * @return The first number of the range.
     */
    public int first() {
        return first;
    }

    /**
     * Returns whether a number lies in this range.
     *
     * @param number The number.
     * @return {@code true} if the number lies in this range.
     */
    public boolean contains(int number) {
        return number >= first && number <= last;
    }
}
