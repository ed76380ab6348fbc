package io.yuccaswitch.settings;

/** Takes what checks of whole settings find. */
public interface SettingsFindings {

    /**
     * Adds an error about values that are valid alone. It is left out if one of the values is itself in error, since
     * the check then saw a default in its place.
     *
     * @param code What is wrong.
     * @param message What is wrong, in a full sentence.
     * @param remedy What to do about it, in a full sentence.
     * @param path The path of the value to change, whose file and line are named.
     * @param others The paths of the other values that were looked at.
     */
    void add(SettingsErrorCode code, String message, String remedy, KeyPath path, KeyPath... others);
}
