package io.yuccaswitch.settings;

import io.yuccaswitch.settings.SettingsValue.ListValue;
import io.yuccaswitch.settings.SettingsValue.ObjectValue;
import io.yuccaswitch.settings.SettingsValue.TextValue;
import java.lang.reflect.Constructor;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The types of values that contain other values. */
final class ContainerTypes {

    /** This class has no instances. */
    private ContainerTypes() {}

    /**
     * Rejects a default value that an annotation specifies for a container.
     *
     * @param type The type of the container.
     * @param text The default value.
     * @return Never returns normally.
     */
    private static SettingsValue rejectLiteral(SettingType type, String text) {
        throw new IllegalArgumentException(
                "A default value is not supported for " + type.describe() + ": '" + text + "'");
    }

    /**
     * Decodes optional values.
     *
     * @param element The type of the value if it is present.
     */
    record OptionalType(SettingType element) implements SettingType {

        /** {@inheritDoc} */
        @Override
        public Optional<Object> decode(SettingsValue value, KeyPath path, DecodingContext context) {
            return element.decode(value, path, context).map(Optional::of);
        }

        /** {@inheritDoc} */
        @Override
        public Optional<Object> decodeAbsent(KeyPath path, DecodingContext context) {
            return Optional.of(Optional.empty());
        }

        /** {@inheritDoc} */
        @Override
        public Optional<Object> substitute() {
            return Optional.of(Optional.empty());
        }

        /** {@inheritDoc} */
        @Override
        public SettingsValue literal(String text, SourcePosition position) {
            return element.literal(text, position);
        }

        /** {@inheritDoc} */
        @Override
        public String describe() {
            return element.describe();
        }

        /** {@inheritDoc} */
        @Override
        public String describeBounds() {
            return element.describeBounds();
        }

        /** {@inheritDoc} */
        @Override
        public String describeDefault() {
            return "none";
        }
    }

    /**
     * Decodes lists.
     *
     * @param element The type of the elements.
     */
    record ListType(SettingType element) implements SettingType {

        /** {@inheritDoc} */
        @Override
        public Optional<Object> decode(SettingsValue value, KeyPath path, DecodingContext context) {
            if (!(value instanceof ListValue list)) {
                return context.addWrongType(value, path, describe());
            }
            List<Object> decoded = new ArrayList<>();
            for (int i = 0; i < list.elements().size(); i++) {
                element.decode(list.elements().get(i), path.child(Integer.toString(i)), context)
                        .ifPresent(decoded::add);
            }
            return Optional.of(List.copyOf(decoded));
        }

        /** {@inheritDoc} */
        @Override
        public Optional<Object> decodeAbsent(KeyPath path, DecodingContext context) {
            return Optional.of(List.of());
        }

        /** {@inheritDoc} */
        @Override
        public SettingsValue literal(String text, SourcePosition position) {
            return rejectLiteral(this, text);
        }

        /** {@inheritDoc} */
        @Override
        public String describe() {
            return "a list, each " + element.describe();
        }

        /** {@inheritDoc} */
        @Override
        public String describeBounds() {
            return element.describeBounds();
        }

        /** {@inheritDoc} */
        @Override
        public String describeDefault() {
            return "empty";
        }
    }

    /**
     * Decodes objects with user-defined keys.
     *
     * @param key The type of the keys.
     * @param element The type of the values.
     */
    record MapType(SettingType key, SettingType element) implements SettingType {

        /** {@inheritDoc} */
        @Override
        public Optional<Object> decode(SettingsValue value, KeyPath path, DecodingContext context) {
            if (!(value instanceof ObjectValue object)) {
                return context.addWrongType(value, path, describe());
            }
            Map<Object, Object> decoded = new LinkedHashMap<>();
            object.entries().forEach((name, entry) -> {
                KeyPath entryPath = path.child(name);
                Optional<Object> decodedKey = key.decode(new TextValue(name, entry.position()), entryPath, context);
                Optional<Object> decodedValue = element.decode(entry, entryPath, context);
                if (decodedKey.isPresent() && decodedValue.isPresent()) {
                    decoded.put(decodedKey.get(), decodedValue.get());
                }
            });
            return Optional.of(Collections.unmodifiableMap(decoded));
        }

        /** {@inheritDoc} */
        @Override
        public Optional<Object> decodeAbsent(KeyPath path, DecodingContext context) {
            return Optional.of(Map.of());
        }

        /** {@inheritDoc} */
        @Override
        public SettingsValue literal(String text, SourcePosition position) {
            return rejectLiteral(this, text);
        }

        /** {@inheritDoc} */
        @Override
        public String describe() {
            return "an object of named entries";
        }

        /** {@inheritDoc} */
        @Override
        public String describeBounds() {
            return element.describeBounds();
        }

        /** {@inheritDoc} */
        @Override
        public String describeDefault() {
            return "empty";
        }
    }

    /**
     * Decodes records of settings.
     *
     * @param constructor The canonical constructor of the record.
     * @param keys The keys in the order of the record's components.
     */
    record RecordType(Constructor<?> constructor, List<SettingKey> keys) implements SettingType {

        /** {@inheritDoc} */
        @Override
        public Optional<Object> decode(SettingsValue value, KeyPath path, DecodingContext context) {
            if (!(value instanceof ObjectValue object)) {
                return context.addWrongType(value, path, describe());
            }
            addUnknownKeys(object, path, context);
            List<Object> arguments = new ArrayList<>();
            for (SettingKey key : keys) {
                key.decode(Optional.ofNullable(object.entries().get(key.name())), path.child(key.name()), context)
                        .ifPresent(arguments::add);
            }
            if (arguments.size() < keys.size()) {
                return Optional.empty();
            }
            Optional<Object> created = RecordInstances.create(constructor, arguments.toArray());
            return created.isPresent() ? created : context.addWrongType(value, path, "values that go together");
        }

        /**
         * Adds an error for each unknown key.
         *
         * @param object The object as written.
         * @param path The path of the object.
         * @param context The context that collects errors.
         */
        private void addUnknownKeys(ObjectValue object, KeyPath path, DecodingContext context) {
            object.entries().forEach((name, entry) -> {
                if (find(name).isEmpty()) {
                    addUnknownKey(name, entry.position(), path, context);
                }
            });
        }

        /**
         * Adds an error for an unknown key.
         *
         * @param name The key.
         * @param position The position of the key.
         * @param path The path of the object.
         * @param context The context that collects errors.
         */
        void addUnknownKey(String name, SourcePosition position, KeyPath path, DecodingContext context) {
            List<String> validNames = keys.stream().map(SettingKey::name).toList();
            String message = "There is no such key.";
            context.addUnknown(SettingsErrorCode.UNKNOWN_KEY, position, path.child(name), message, name, validNames);
        }

        /**
         * Finds a key.
         *
         * @param name The name of the key.
         * @return The key, or empty if the record has no key of this name.
         */
        Optional<SettingKey> find(String name) {
            return keys.stream().filter(key -> key.name().equals(name)).findFirst();
        }

        /** {@inheritDoc} */
        @Override
        public Optional<Object> decodeAbsent(KeyPath path, DecodingContext context) {
            return decode(ObjectValue.empty(context.positionOf(path)), path, context);
        }

        /** {@inheritDoc} */
        @Override
        public SettingsValue literal(String text, SourcePosition position) {
            return rejectLiteral(this, text);
        }

        /** {@inheritDoc} */
        @Override
        public String describe() {
            return "an object";
        }

        /** {@inheritDoc} */
        @Override
        public String describeDefault() {
            return "defaults of its keys";
        }
    }
}
