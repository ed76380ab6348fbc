package io.yuccaswitch.settings;

import java.util.Comparator;

/**
 * Something that is wrong with settings, said such that its reader knows where and what to do.
 *
 * @param code What is wrong.
 * @param file The file that is to be changed.
 * @param line The line within the file, or zero if no line is to blame.
 * @param key The path of the key.
 * @param message What is wrong, in a full sentence.
 * @param remedy What to do about it, in a full sentence.
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
     * @param code What is wrong.
     * @param position Where the value was written.
     * @param path The path of the key.
     * @param message What is wrong, in a full sentence.
     * @param remedy What to do about it, in a full sentence.
     * @return The error.
     */
    public static SettingsError at(
            SettingsErrorCode code, SourcePosition position, KeyPath path, String message, String remedy) {
        return new SettingsError(code, position.file(), position.line(), path.toString(), message, remedy);
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        String place = new SourcePosition(file, line).toString();
        String where = key.isEmpty() ? place : place + ": " + key;
        return where + ": [" + code.label() + "] " + message + " " + remedy;
    }
}
