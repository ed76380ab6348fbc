package io.yuccaswitch.settings;

import java.util.Comparator;

/**
 * An error in settings, with its position and a suggested correction.
 *
 * @param code The error code.
 * @param file The file to change.
 * @param line The line within the file, or zero if the error has no specific line.
 * @param key The path of the key.
 * @param message The description of the error, as a full sentence.
 * @param remedy The suggested correction, as a full sentence.
 */
public record SettingsError(SettingsErrorCode code, String file, int line, String key, String message, String remedy) {

    /** The order in which errors are reported: by file, line, key and code. */
    public static final Comparator<SettingsError> ORDER = Comparator.comparing(SettingsError::file)
            .thenComparingInt(SettingsError::line)
            .thenComparing(SettingsError::key)
            .thenComparing(SettingsError::code);

    /**
     * Creates an error at a position.
     *
     * @param code The error code.
     * @param position The position of the value.
     * @param path The path of the key.
     * @param message The description of the error, as a full sentence.
     * @param remedy The suggested correction, as a full sentence.
     * @return The error.
     */
    public static SettingsError at(
            SettingsErrorCode code, SourcePosition position, KeyPath path, String message, String remedy) {
        return new SettingsError(code, position.file(), position.line(), path.toString(), message, remedy);
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        String location = new SourcePosition(file, line).toString();
        String prefix = key.isEmpty() ? location : location + ": " + key;
        return prefix + ": [" + code.label() + "] " + message + " " + remedy;
    }
}
