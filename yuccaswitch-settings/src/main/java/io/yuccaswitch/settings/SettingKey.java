package io.yuccaswitch.settings;

import io.yuccaswitch.core.configuration.Setting;
import java.util.Optional;

/**
 * A key of a record of settings.
 *
 * @param name The name of the key.
 * @param type The type of its values.
 * @param setting The annotation that describes it.
 */
record SettingKey(String name, SettingType type, Setting setting) {

    /**
     * Decodes the value of the key.
     *
     * @param value The value as written, or empty if the key is absent.
     * @param path The path of the key.
     * @param context The context that collects errors.
     * @return The decoded value, or empty if errors were added to the context.
     */
    Optional<Object> decode(Optional<SettingsValue> value, KeyPath path, DecodingContext context) {
        if (value.isPresent()) {
            return type.decode(value.get(), path, context);
        }
        if (setting.defaultValue().isEmpty()) {
            return type.decodeAbsent(path, context);
        }
        return type.decode(type.literal(setting.defaultValue(), context.positionOf(path)), path, context);
    }

    /**
     * Describes the default for the reference.
     *
     * @return The default, or what stands in its place.
     */
    String describeDefault() {
        return setting.defaultValue().isEmpty() ? type.describeDefault() : setting.defaultValue();
    }
}
