package io.yuccaswitch.settings;

import io.yuccaswitch.settings.ContainerTypes.MapType;
import io.yuccaswitch.settings.ContainerTypes.OptionalType;
import io.yuccaswitch.settings.ContainerTypes.RecordType;
import io.yuccaswitch.settings.SettingsMerge.Removal;
import java.util.List;
import java.util.Optional;

/**
 * Decodes a merged folder into a record whose components are annotated with
 * {@link io.yuccaswitch.core.configuration.Setting}. All errors of a folder are found in one pass, and a value is
 * returned only if there are no errors.
 */
public final class SettingsDecoder {

    /** This class has no instances. */
    private SettingsDecoder() {}

    /**
     * Decodes a folder.
     *
     * @param folder The folder.
     * @param type The record to decode into.
     * @param <T> The type of the record.
     * @return The record, or all errors.
     */
    public static <T extends Record> SettingsResult<T> decode(SettingsFolder folder, Class<T> type) {
        return decode(folder, type, List.of());
    }

    /**
     * Decodes a folder and runs additional checks.
     *
     * @param folder The folder.
     * @param type The record to decode into.
     * @param checks The checks that involve several values.
     * @param <T> The type of the record.
     * @return The record, or all errors.
     */
    public static <T extends Record> SettingsResult<T> decode(
            SettingsFolder folder, Class<T> type, List<SettingsCheck<T>> checks) {
        RecordType record = SettingTypes.ofRecord(type);
        DecodingContext context = new DecodingContext(folder);
        Optional<T> decoded =
                record.decode(folder.content(), KeyPath.ROOT, context).map(type::cast);
        folder.removals().forEach(removal -> checkRemoval(record, removal, context));
        if (!folder.isIncomplete()) {
            decoded.ifPresent(settings -> checks.forEach(check -> check.check(settings, context)));
        }
        return SettingsResult.of(decoded, context.errors());
    }

    /**
     * Checks that a null removes a valid key, since removing a misspelt key would have no effect.
     *
     * @param root The record that the folder is decoded into.
     * @param removal The removal.
     * @param context The context that collects errors.
     */
    private static void checkRemoval(RecordType root, Removal removal, DecodingContext context) {
        SettingType type = root;
        KeyPath path = KeyPath.ROOT;
        for (String segment : removal.path().segments()) {
            SettingType presentType = type instanceof OptionalType optional ? optional.element() : type;
            if (presentType instanceof RecordType record) {
                Optional<SettingKey> key = record.find(segment);
                if (key.isEmpty()) {
                    record.addUnknownKey(segment, removal.position(), path, context);
                    return;
                }
                type = key.get().type();
            } else if (presentType instanceof MapType map) {
                type = map.element();
            } else {
                return;
            }
            path = path.child(segment);
        }
    }
}
