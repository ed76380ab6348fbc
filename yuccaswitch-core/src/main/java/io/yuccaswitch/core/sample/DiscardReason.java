package io.yuccaswitch.core.sample;

import java.util.Locale;

/** The reason for which generated samples were discarded and are generated again. Their length is never a reason. */
public enum DiscardReason {
    /** The samples would exceed the staleness bound when used. */
    STALE,
    /** The generation was stopped because its sample would exceed the staleness bound before it could be used. */
    STOPPED_EARLY,
    /** The engine did not report which weight versions it used. */
    VERSION_UNREPORTED,
    /** The engine reported a weight version that was not published. */
    VERSION_IMPOSSIBLE,
    /** A reading of the engine showed an older version than the engine reported for the sample. */
    VERSION_CONTRADICTED,
    /** The answer of a scorer whose calls must not be repeated was lost. */
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
