package io.yuccaswitch.settings;

import io.yuccaswitch.settings.SettingsValue.BooleanValue;
import io.yuccaswitch.settings.SettingsValue.NumberValue;
import io.yuccaswitch.settings.SettingsValue.TextValue;
import java.lang.reflect.Constructor;
import java.math.BigDecimal;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Function;

/** The types of scalar values. */
final class ScalarTypes {

    /** This class has no instances. */
    private ScalarTypes() {}

    /** Decodes {@code true} and {@code false}. */
    record BooleanType() implements SettingType {

        /** {@inheritDoc} */
        @Override
        public Optional<Object> decode(SettingsValue value, KeyPath path, DecodingContext context) {
            return value instanceof BooleanValue written
                    ? Optional.of(written.truth())
                    : context.addWrongType(value, path, "true or false");
        }

        /** {@inheritDoc} */
        @Override
        public SettingsValue literal(String text, SourcePosition position) {
            return new BooleanValue(Boolean.parseBoolean(text), position);
        }

        /** {@inheritDoc} */
        @Override
        public String describe() {
            return "true or false";
        }
    }

    /**
     * Decodes numbers.
     *
     * @param integral Whether the number must be an integer.
     * @param minimum The lower bound.
     * @param maximum The upper bound.
     * @param conversion The conversion of a number within its bounds to the type of the component.
     */
    record NumberType(boolean integral, BigDecimal minimum, BigDecimal maximum, Function<BigDecimal, Object> conversion)
            implements SettingType {

        /** {@inheritDoc} */
        @Override
        public Optional<Object> decode(SettingsValue value, KeyPath path, DecodingContext context) {
            if (!(value instanceof NumberValue written)) {
                return context.addWrongType(value, path, describe());
            }
            BigDecimal number = written.number();
            if (number.compareTo(minimum) < 0 || number.compareTo(maximum) > 0) {
                context.add(
                        SettingsErrorCode.OUT_OF_BOUNDS,
                        value.position(),
                        path,
                        "Found " + value.describe() + ".",
                        "Write a number " + describeBounds() + ".");
                return Optional.empty();
            }
            if (integral && number.signum() != 0 && number.stripTrailingZeros().scale() > 0) {
                return context.addWrongType(value, path, describe());
            }
            return Optional.of(conversion.apply(number));
        }

        /** {@inheritDoc} */
        @Override
        public SettingsValue literal(String text, SourcePosition position) {
            return new NumberValue(new BigDecimal(text), position);
        }

        /** {@inheritDoc} */
        @Override
        public String describe() {
            return integral ? "a whole number" : "a number";
        }

        /** {@inheritDoc} */
        @Override
        public String describeBounds() {
            return "from " + minimum.toPlainString() + " to " + maximum.toPlainString();
        }
    }

    /** Decodes text that is not blank. */
    record TextType() implements SettingType {

        /** {@inheritDoc} */
        @Override
        public Optional<Object> decode(SettingsValue value, KeyPath path, DecodingContext context) {
            return value instanceof TextValue written && !written.text().isBlank()
                    ? Optional.of(written.text())
                    : context.addWrongType(value, path, describe());
        }

        /** {@inheritDoc} */
        @Override
        public SettingsValue literal(String text, SourcePosition position) {
            return new TextValue(text, position);
        }

        /** {@inheritDoc} */
        @Override
        public String describe() {
            return "a text that is not blank";
        }
    }

    /**
     * Decodes durations.
     *
     * @param minimum The lower bound, or an empty string for none.
     * @param maximum The upper bound, or an empty string for none.
     */
    record DurationType(String minimum, String maximum) implements SettingType {

        /** {@inheritDoc} */
        @Override
        public Optional<Object> decode(SettingsValue value, KeyPath path, DecodingContext context) {
            Optional<Duration> duration =
                    value instanceof TextValue written ? Durations.parse(written.text()) : Optional.empty();
            if (duration.isEmpty()) {
                return context.addWrongType(value, path, "a duration such as \"250ms\", \"30s\", \"5m\" or \"1h\"");
            }
            if (isOutOfBounds(duration.get())) {
                context.add(
                        SettingsErrorCode.OUT_OF_BOUNDS,
                        value.position(),
                        path,
                        "Found " + value.describe() + ".",
                        "Write a duration " + describeBounds() + ".");
                return Optional.empty();
            }
            return Optional.of(duration.get());
        }

        /**
         * Returns whether a duration is out of bounds.
         *
         * @param duration The duration.
         * @return {@code true} if it is too short or too long.
         */
        private boolean isOutOfBounds(Duration duration) {
            boolean tooShort = !minimum.isEmpty() && duration.compareTo(Durations.require(minimum)) < 0;
            boolean tooLong = !maximum.isEmpty() && duration.compareTo(Durations.require(maximum)) > 0;
            return tooShort || tooLong;
        }

        /** {@inheritDoc} */
        @Override
        public SettingsValue literal(String text, SourcePosition position) {
            return new TextValue(text, position);
        }

        /** {@inheritDoc} */
        @Override
        public String describe() {
            return "a duration";
        }

        /** {@inheritDoc} */
        @Override
        public String describeBounds() {
            List<String> bounds = new ArrayList<>();
            if (!minimum.isEmpty()) {
                bounds.add("from " + minimum);
            }
            if (!maximum.isEmpty()) {
                bounds.add("to " + maximum);
            }
            return String.join(" ", bounds);
        }
    }

    /**
     * Decodes the constants of an enumeration, which are written in lower case with hyphens.
     *
     * @param constants The constants.
     */
    record EnumerationType(List<Enum<?>> constants) implements SettingType {

        /** {@inheritDoc} */
        @Override
        public Optional<Object> decode(SettingsValue value, KeyPath path, DecodingContext context) {
            if (!(value instanceof TextValue written)) {
                return context.addWrongType(value, path, describe());
            }
            Optional<Enum<?>> constant = constants.stream()
                    .filter(candidate -> label(candidate).equals(written.text()))
                    .findFirst();
            if (constant.isEmpty()) {
                String message = "Found " + value.describe() + ".";
                SettingsErrorCode code = SettingsErrorCode.WRONG_TYPE;
                context.addUnknown(code, value.position(), path, message, written.text(), labels());
            }
            return constant.map(Object.class::cast);
        }

        /** {@inheritDoc} */
        @Override
        public SettingsValue literal(String text, SourcePosition position) {
            return new TextValue(text, position);
        }

        /** {@inheritDoc} */
        @Override
        public String describe() {
            return "one of " + String.join(", ", labels());
        }

        /**
         * Returns the labels of all constants.
         *
         * @return The labels in the order of the enumeration.
         */
        private List<String> labels() {
            return constants.stream().map(EnumerationType::label).toList();
        }

        /**
         * Returns the text of a constant in settings.
         *
         * @param constant The constant.
         * @return Its name in lower case with hyphens.
         */
        private static String label(Enum<?> constant) {
            return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    /**
     * Decodes a record that wraps a name.
     *
     * @param constructor The constructor of the record, which throws an exception if the text is not a valid name.
     */
    record NameType(Constructor<?> constructor) implements SettingType {

        /** {@inheritDoc} */
        @Override
        public Optional<Object> decode(SettingsValue value, KeyPath path, DecodingContext context) {
            Optional<Object> name = value instanceof TextValue written
                    ? RecordInstances.create(constructor, written.text())
                    : Optional.empty();
            return name.isPresent() ? name : context.addWrongType(value, path, describe());
        }

        /** {@inheritDoc} */
        @Override
        public SettingsValue literal(String text, SourcePosition position) {
            return new TextValue(text, position);
        }

        /** {@inheritDoc} */
        @Override
        public String describe() {
            return "a name of letters, digits, dots, hyphens and underscores";
        }
    }

    /**
     * Checks that a decoded name is a key of a top-level map.
     *
     * @param name The type of the name.
     * @param map The key of the map.
     */
    record ReferenceType(SettingType name, String map) implements SettingType {

        /** {@inheritDoc} */
        @Override
        public Optional<Object> decode(SettingsValue value, KeyPath path, DecodingContext context) {
            return name.decode(value, path, context)
                    .filter(decoded -> context.checkReference(value, decoded.toString(), path, map));
        }

        /** {@inheritDoc} */
        @Override
        public SettingsValue literal(String text, SourcePosition position) {
            return name.literal(text, position);
        }

        /** {@inheritDoc} */
        @Override
        public String describe() {
            return "a key of " + map;
        }
    }
}
