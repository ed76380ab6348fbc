package io.yuccaswitch.settings;

import java.util.Optional;

/** How the values of one type are decoded and described. The decoder and the printed reference both follow it. */
interface SettingType {

    /**
     * Decodes a value.
     *
     * @param value The value as written.
     * @param path The path of the value.
     * @param context The context that collects errors.
     * @return The decoded value, which may lack parts that errors were added to the context for, or empty if there is
     *     no value because of an error.
     */
    Optional<Object> decode(SettingsValue value, KeyPath path, DecodingContext context);

    /**
     * Returns what an absent key decodes to.
     *
     * @param path The path of the absent key.
     * @param context The context that collects errors.
     * @return The decoded value, or empty if errors were added to the context.
     */
    default Optional<Object> decodeAbsent(KeyPath path, DecodingContext context) {
        context.addMissing(path, describe());
        return Optional.empty();
    }

    /**
     * Returns what stands in for a value in error, such that further checks can run.
     *
     * @return The substitute, or empty if there is none.
     */
    default Optional<Object> substitute() {
        return Optional.empty();
    }

    /**
     * Turns the text of a default into a value.
     *
     * @param text The text as an annotation gives it.
     * @param position The position to give to the value.
     * @return The value.
     */
    SettingsValue literal(String text, SourcePosition position);

    /**
     * Describes the type for errors and the reference.
     *
     * @return The type in a few words.
     */
    String describe();

    /**
     * Describes the bounds for the reference.
     *
     * @return The bounds, or an empty text if there are none.
     */
    default String describeBounds() {
        return "";
    }

    /**
     * Describes the default of a key without a default of its own.
     *
     * @return The default as the reference shows it.
     */
    default String describeDefault() {
        return "required";
    }
}
