package io.yuccaswitch.settings;

import java.util.List;
import java.util.Optional;

/**
 * Either a completely valid value or all errors that were found. There are no partial results.
 *
 * @param <T> The type of the value.
 */
public sealed interface SettingsResult<T> {

    /**
     * Returns the value if it is valid.
     *
     * @return The value, or empty if there are errors.
     */
    Optional<T> value();

    /**
     * Returns the errors in the order of their files and lines.
     *
     * @return The errors, which are empty if there is a value.
     */
    List<SettingsError> errors();

    /**
     * Creates a result.
     *
     * @param value The value, which may only be empty if there are errors.
     * @param errors The errors that were found.
     * @param <T> The type of the value.
     * @return The value if there are no errors, or otherwise the errors.
     */
    static <T> SettingsResult<T> of(Optional<T> value, List<SettingsError> errors) {
        if (!errors.isEmpty()) {
            return new Invalid<>(errors);
        }
        return new Valid<>(
                value.orElseThrow(() -> new IllegalStateException("Settings have neither a value nor an error")));
    }

    /**
     * Valid settings.
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
     * Invalid settings.
     *
     * @param errors The errors, at least one.
     * @param <T> The type of the value.
     */
    record Invalid<T>(List<SettingsError> errors) implements SettingsResult<T> {

        /**
         * Sorts the errors and verifies that there is at least one.
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
