package io.yuccaswitch.settings;

import java.util.Optional;

/** Decodes and describes the values of one type. Both the decoder and the generated reference page use it. */
interface SettingType {

    /**
     * Decodes a value.
     *
     * @param value The value as written.
     * @param path The path of the value.
     * @param context The context that collects errors.
     * @return The decoded value, which omits invalid parts for which errors were added to the context, or empty if an
     *     error left no value.
     */
    Optional<Object> decode(SettingsValue value, KeyPath path, DecodingContext context);

    /**
     * Returns the decoded value of an absent key.
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
     * Returns a substitute for an invalid value, so that further checks can run.
     *
     * @return The substitute, or empty if there is none.
     */
    default Optional<Object> substitute() {
        return Optional.empty();
    }

    /**
     * Converts the text of a default value into a value.
     *
     * @param text The text that an annotation specifies.
     * @param position The position of the created value.
     * @return The value.
     */
    SettingsValue literal(String text, SourcePosition position);

    /**
     * Describes the type for errors and the reference page.
     *
     * @return A short description of the type.
     */
    String describe();

    /**
     * Describes the bounds for the reference page.
     *
     * @return The bounds, or an empty string if there are none.
     */
    default String describeBounds() {
        return "";
    }

    /**
     * Describes the default of a key whose annotation specifies none.
     *
     * @return The default as shown on the reference page.
     */
    default String describeDefault() {
        return "required";
    }
}
