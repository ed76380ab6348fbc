package io.yuccaswitch.settings;

import java.util.Locale;

/** What is wrong with a setting. The names are stable: scripts may rely on them. */
public enum SettingsErrorCode {
    /** A folder or file cannot be read. */
    UNREADABLE,
    /** A file is not JSON with comments. */
    SYNTAX,
    /** A key stands twice in one object of one file. */
    DUPLICATE_KEY,
    /** A key is not known. */
    UNKNOWN_KEY,
    /** A value is of the wrong type or form. */
    WRONG_TYPE,
    /** A value is below its minimum or above its maximum. */
    OUT_OF_BOUNDS,
    /** A required key is missing. */
    MISSING,
    /** A value names something that the configuration does not have. */
    DANGLING_REFERENCE,
    /** A value that must be unique stands twice. */
    DUPLICATE_VALUE,
    /** Values that are valid alone contradict each other. */
    CONTRADICTION;

    /**
     * Returns the code as printed, such as {@code unknown-key}.
     *
     * @return The code in lower case with hyphens.
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
