package io.yuccaswitch.settings;

import java.math.BigDecimal;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A value in a settings file, with its position. */
public sealed interface SettingsValue {

    /**
     * Returns the position of the value.
     *
     * @return The file and line.
     */
    SourcePosition position();

    /**
     * Describes the value for use in a sentence.
     *
     * @return The description of the value.
     */
    String describe();

    /**
     * An object.
     *
     * @param entries The values by their keys.
     * @param position The file and line of the first occurrence of the object.
     */
    record ObjectValue(Map<String, SettingsValue> entries, SourcePosition position) implements SettingsValue {

        /**
         * Copies the entries in their order.
         *
         * @param entries The values by their keys.
         * @param position The file and line of the first occurrence of the object.
         */
        public ObjectValue {
            entries = Collections.unmodifiableMap(new LinkedHashMap<>(entries));
        }

        /**
         * Creates an object without entries.
         *
         * @param position The file and line.
         * @return The object.
         */
        public static ObjectValue empty(SourcePosition position) {
            return new ObjectValue(Map.of(), position);
        }

        /** {@inheritDoc} */
        @Override
        public String describe() {
            return "an object";
        }
    }

    /**
     * A list.
     *
     * @param elements The elements.
     * @param position The file and line.
     */
    record ListValue(List<SettingsValue> elements, SourcePosition position) implements SettingsValue {

        /**
         * Copies the elements.
         *
         * @param elements The elements.
         * @param position The file and line.
         */
        public ListValue {
            elements = List.copyOf(elements);
        }

        /** {@inheritDoc} */
        @Override
        public String describe() {
            return "a list";
        }
    }

    /**
     * A text.
     *
     * @param text The text.
     * @param position The file and line.
     */
    record TextValue(String text, SourcePosition position) implements SettingsValue {

        /** {@inheritDoc} */
        @Override
        public String describe() {
            return "the text \"" + text + "\"";
        }
    }

    /**
     * A number.
     *
     * @param number The number.
     * @param position The file and line.
     */
    record NumberValue(BigDecimal number, SourcePosition position) implements SettingsValue {

        /** {@inheritDoc} */
        @Override
        public String describe() {
            return "the number " + number;
        }
    }

    /**
     * A Boolean value.
     *
     * @param truth The Boolean value.
     * @param position The file and line.
     */
    record BooleanValue(boolean truth, SourcePosition position) implements SettingsValue {

        /** {@inheritDoc} */
        @Override
        public String describe() {
            return "the value " + truth;
        }
    }

    /**
     * A null, which removes its key.
     *
     * @param position The file and line.
     */
    record NullValue(SourcePosition position) implements SettingsValue {

        /** {@inheritDoc} */
        @Override
        public String describe() {
            return "null";
        }
    }
}
