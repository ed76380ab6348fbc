package io.yuccaswitch.settings;

import io.yuccaswitch.settings.SettingsValue.ObjectValue;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * A value that differs between two versions of settings. Tokens are masked.
 *
 * @param key The path of the value.
 * @param before The earlier value as JSON, or empty if there was none.
 * @param after The later value as JSON, or empty if there is none.
 */
public record SettingsDifference(String key, Optional<String> before, Optional<String> after) {

    /** The last key of paths whose values are secret. */
    private static final String SECRET_KEY = "token";

    /** The text that replaces a secret. */
    private static final String SECRET_REPLACEMENT = "(secret)";

    /**
     * Compares two versions of settings.
     *
     * @param before The earlier settings.
     * @param after The later settings.
     * @return The values that differ, in the order of their paths. A list is compared as a single value.
     */
    public static List<SettingsDifference> between(ObjectValue before, ObjectValue after) {
        Map<KeyPath, String> earlier = leaves(before);
        Map<KeyPath, String> later = leaves(after);
        List<KeyPath> paths = new ArrayList<>(earlier.keySet());
        later.keySet().stream().filter(path -> !earlier.containsKey(path)).forEach(paths::add);
        return paths.stream()
                .filter(path -> !Objects.equals(earlier.get(path), later.get(path)))
                .map(path -> new SettingsDifference(
                        path.toString(), masked(path, earlier.get(path)), masked(path, later.get(path))))
                .sorted(Comparator.comparing(SettingsDifference::key))
                .toList();
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        if (before.isEmpty()) {
            return "+ " + key + " = " + after.orElse("");
        }
        if (after.isEmpty()) {
            return "- " + key + " = " + before.get();
        }
        return "~ " + key + " = " + before.get() + " -> " + after.get();
    }

    /**
     * Returns a value, masked if it is secret.
     *
     * @param path The path of the value.
     * @param json The value as JSON, or {@code null} if there is none.
     * @return The value or the replacement of a secret, or empty if there is no value.
     */
    private static Optional<String> masked(KeyPath path, String json) {
        List<String> segments = path.segments();
        boolean secret =
                !segments.isEmpty() && segments.get(segments.size() - 1).equals(SECRET_KEY);
        return Optional.ofNullable(json).map(value -> secret ? SECRET_REPLACEMENT : value);
    }

    /**
     * Collects all values except non-empty objects.
     *
     * @param settings The settings.
     * @return The values as JSON by their paths.
     */
    private static Map<KeyPath, String> leaves(ObjectValue settings) {
        Map<KeyPath, String> leaves = new HashMap<>();
        settings.entries().forEach((key, value) -> collect(KeyPath.of(key), value, leaves));
        return leaves;
    }

    /**
     * Collects the values at and below a path.
     *
     * @param path The path.
     * @param value The value at the path.
     * @param leaves The values to add to.
     */
    private static void collect(KeyPath path, SettingsValue value, Map<KeyPath, String> leaves) {
        if (value instanceof ObjectValue object && !object.entries().isEmpty()) {
            object.entries().forEach((key, entry) -> collect(path.child(key), entry, leaves));
            return;
        }
        leaves.put(path, CanonicalJson.toText(value));
    }
}
