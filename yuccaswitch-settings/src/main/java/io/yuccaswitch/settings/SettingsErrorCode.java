package io.yuccaswitch.settings;

import java.util.Locale;

/** The kind of an error in settings. The names are stable, since scripts may depend on them. */
public enum SettingsErrorCode {
    /** A folder or file cannot be read. */
    UNREADABLE,
    /** A file is not JSON with comments. */
    SYNTAX,
    /** A key occurs twice in one object of one file. */
    DUPLICATE_KEY,
    /** A key is unknown. */
    UNKNOWN_KEY,
    /** A value has the wrong type or format. */
    WRONG_TYPE,
    /** A value is below its minimum or above its maximum. */
    OUT_OF_BOUNDS,
    /** A required key is missing. */
    MISSING,
    /** A value references something that is not defined in the configuration. */
    DANGLING_REFERENCE,
    /** A value that must be unique occurs twice. */
    DUPLICATE_VALUE,
    /** Individually valid values contradict each other. */
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
