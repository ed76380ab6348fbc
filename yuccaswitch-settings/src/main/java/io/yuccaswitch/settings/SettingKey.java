package io.yuccaswitch.settings;

import io.yuccaswitch.core.configuration.Setting;
import java.util.Optional;

/**
 * A key of a record of settings.
 *
 * @param name The name of the key.
 * @param type The type of its values.
 * @param setting The annotation that describes the key.
 */
record SettingKey(String name, SettingType type, Setting setting) {

    /**
     * Decodes the value of the key. If the value is invalid, an error is added to the context and the default value is
     * returned if there is one, so that further checks can run.
     *
     * @param value The value as written, or empty if the key is absent.
     * @param path The path of the key.
     * @param context The context that collects errors.
     * @return The decoded value, or empty if an error left no value.
     */
    Optional<Object> decode(Optional<SettingsValue> value, KeyPath path, DecodingContext context) {
        if (value.isEmpty()) {
            return setting.defaultValue().isEmpty() ? type.decodeAbsent(path, context) : decodeDefault(path, context);
        }
        Optional<Object> decoded = type.decode(value.get(), path, context);
        if (decoded.isPresent()) {
            return decoded;
        }
        return setting.defaultValue().isEmpty() ? type.substitute() : decodeDefault(path, context);
    }

    /**
     * Decodes the default value of the key.
     *
     * @param path The path of the key.
     * @param context The context that collects errors.
     * @return The default value.
     */
    private Optional<Object> decodeDefault(KeyPath path, DecodingContext context) {
        return type.decode(type.literal(setting.defaultValue(), context.positionOf(path)), path, context);
    }

    /**
     * Describes the default value for the reference page.
     *
     * @return The default value, or a description if there is none.
     */
    String describeDefault() {
        return setting.defaultValue().isEmpty() ? type.describeDefault() : setting.defaultValue();
    }
}
