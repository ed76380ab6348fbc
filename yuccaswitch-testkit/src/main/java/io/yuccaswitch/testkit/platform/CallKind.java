package io.yuccaswitch.testkit.platform;

import java.util.Locale;

/** The kinds of calls for which counts are kept. */
enum CallKind {
    /** A read of one object. */
    READ(false),
    /** A list of a kind. */
    LIST(false),
    /** A conditional write. */
    WRITE(true),
    /** A conditional deletion. */
    DELETE(true),
    /** A watch, which counts as one call independently of its duration. */
    WATCH(false),
    /** A list of the VMs. */
    VIRTUAL_MACHINES(false);

    /** Whether the call changes an object. */
    private final boolean changing;

    /**
     * Creates a kind of call.
     *
     * @param changing Whether the call changes an object.
     */
    CallKind(boolean changing) {
        this.changing = changing;
    }

    /**
     * Returns whether the call changes an object.
     *
     * @return {@code true} if it does.
     */
    boolean isChanging() {
        return changing;
    }

    /**
     * Returns the name that is used in counts.
     *
     * @return The name in lower case.
     */
    String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
