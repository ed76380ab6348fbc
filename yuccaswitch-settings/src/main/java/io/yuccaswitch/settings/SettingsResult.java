package io.yuccaswitch.settings;

import java.util.List;
import java.util.Optional;

/**
 * Either a value that is right as a whole, or all errors that were found. There is nothing between the two.
 *
 * @param <T> The type of the value.
 */
public sealed interface SettingsResult<T> {

    /**
     * Returns the value if it is right.
     *
     * @return The value, or empty if there are errors.
     */
    Optional<T> value();

    /**
     * Returns the errors in the order of their files and lines.
     *
     * @return The errors, none if there is a value.
     */
    List<SettingsError> errors();

    /**
     * Creates a result from what was found.
     *
     * @param value The value, which may only be empty if there are errors.
     * @param errors The errors that were found.
     * @param <T> The type of the value.
     * @return The value if there are no errors.
     */
    static <T> SettingsResult<T> of(Optional<T> value, List<SettingsError> errors) {
        if (!errors.isEmpty()) {
            return new Invalid<>(errors);
        }
        return new Valid<>(value.orElseThrow(
                () -> new IllegalStateException("Settings were neither decoded nor found to be in error")));
    }

    /**
     * Settings that are right.
     *
     * @param content The decoded settings.
     * @param <T> The type of the value.
     */
    record Valid<T>(T content) implements SettingsResult<T> {

        /** {@inheritDoc} */
        @Override
        public Optional<T> value() {
            return Optional.of(content);
        }

        /** {@inheritDoc} */
        @Override
        public List<SettingsError> errors() {
            return List.of();
        }
    }

    /**
     * Settings that are wrong.
     *
     * @param errors The errors, at least one.
     * @param <T> The type of the value.
     */
    record Invalid<T>(List<SettingsError> errors) implements SettingsResult<T> {

        /**
         * Sorts the errors, and checks that there are some.
         *
         * @param errors The errors, at least one.
         */
        public Invalid {
            if (errors.isEmpty()) {
                throw new IllegalArgumentException("Invalid settings without an error");
            }
            errors = errors.stream().sorted(SettingsError.ORDER).distinct().toList();
        }

        /** {@inheritDoc} */
        @Override
        public Optional<T> value() {
            return Optional.empty();
        }
    }
}
