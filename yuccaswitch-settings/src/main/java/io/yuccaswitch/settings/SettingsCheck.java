package io.yuccaswitch.settings;

/**
 * A check of settings that looks at several values at once.
 *
 * @param <T> The type of the settings.
 */
public interface SettingsCheck<T> {

    /**
     * Checks settings. If other errors were found, defaults stand in for values in error, and entries of maps that are
     * in error are absent.
     *
     * @param settings The settings.
     * @param findings Takes what the check finds.
     */
    void check(T settings, SettingsFindings findings);
}
