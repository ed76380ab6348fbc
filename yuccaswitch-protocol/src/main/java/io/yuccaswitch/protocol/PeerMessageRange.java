package io.yuccaswitch.protocol;

/** The ranges of type numbers that are reserved for the messages of each concept. Number zero is the greeting. */
public enum PeerMessageRange {
    /** Messages that maintain the membership of nodes. */
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
    /** Messages by which followers receive the changes that a watcher node observes on the platform. */
    WATCH(140, 159),
    /** Messages about requests during which endpoints ended. */
    QUARANTINE(160, 179),
    /** Messages about the usage of client accounts. */
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
