package io.yuccaswitch.settings;

/**
 * A check of settings that involves several values.
 *
 * @param <T> The type of the settings.
 */
public interface SettingsCheck<T> {

    /**
     * Checks settings. If other errors were found, invalid values are replaced by their defaults, and invalid entries
     * of maps are absent.
     *
     * @param settings The settings.
     * @param findings Receives the errors.
     */
    void check(T settings, SettingsFindings findings);
}
