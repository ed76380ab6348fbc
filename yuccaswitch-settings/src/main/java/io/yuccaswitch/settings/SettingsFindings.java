package io.yuccaswitch.settings;

/** Receives the errors that checks of settings find. */
public interface SettingsFindings {

    /**
     * Adds an error about individually valid values. The error is ignored if one of the values is itself invalid, since
     * the check then used a default instead.
     *
     * @param code The error code.
     * @param message The description of the error, as a full sentence.
     * @param remedy The suggested correction, as a full sentence.
     * @param path The path of the value to change, whose file and line are reported.
     * @param others The paths of the other values that the check used.
     */
    void add(SettingsErrorCode code, String message, String remedy, KeyPath path, KeyPath... others);
}
