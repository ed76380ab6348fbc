package io.yuccaswitch.core.sample;

import java.util.Locale;

/** Why generated work was thrown away and run again. Length is never a reason. */
public enum DiscardReason {
    /** The samples would be used past the staleness bound. */
    STALE,
    /** The generation was stopped because its samples would be past the staleness bound before they could be used. */
    STOPPED_EARLY,
    /** The engine did not say which weight versions it used. */
    VERSION_UNREPORTED,
    /** The engine named weight versions that can't be true. */
    VERSION_IMPOSSIBLE,
    /** The engine was read back to hold an older version than it named. */
    VERSION_CONTRADICTED,
    /** The answer of a scorer that must not be called twice was lost. */
    SCORE_LOST,
    /** The keepers lost the group. */
    KEEPERS_LOST;

    /** The name in reports. */
    private final String code;

    /** Creates a reason. */
    DiscardReason() {
        code = name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Returns the name of this reason in reports.
     *
     * @return The name in lower case with hyphens.
     */
    public String code() {
        return code;
    }
}
