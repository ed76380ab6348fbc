package io.yuccaswitch.settings;

import io.yuccaswitch.settings.SettingsValue.NullValue;
import io.yuccaswitch.settings.SettingsValue.ObjectValue;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Merges files according to RFC 7396 (JSON Merge Patch): objects are merged key by key, a later value replaces an
 * earlier one, a null removes its key, and a list replaces the complete earlier list.
 */
final class SettingsMerge {

    /** The nulls encountered so far. */
    private final List<Removal> removals = new ArrayList<>();

    /**
     * Merges a later object into an earlier one.
     *
     * @param base The earlier object, which has no nulls.
     * @param patch The later object.
     * @return The merged object, which has no nulls.
     */
    ObjectValue merge(ObjectValue base, ObjectValue patch) {
        return merge(base, patch, KeyPath.ROOT);
    }

    /**
     * Returns the nulls encountered so far, in their order.
     *
     * @return The removals.
     */
    List<Removal> removals() {
        return List.copyOf(removals);
    }

    /**
     * Merges a later object into an earlier one.
     *
     * @param base The earlier object.
     * @param patch The later object.
     * @param path The path of both objects.
     * @return The merged object.
     */
    private ObjectValue merge(ObjectValue base, ObjectValue patch, KeyPath path) {
        Map<String, SettingsValue> merged = new LinkedHashMap<>(base.entries());
        patch.entries().forEach((key, value) -> {
            KeyPath keyPath = path.child(key);
            if (value instanceof NullValue) {
                merged.remove(key);
                removals.add(new Removal(keyPath, value.position()));
                return;
            }
            if (value instanceof ObjectValue object) {
                ObjectValue earlier = merged.get(key) instanceof ObjectValue existing
                        ? existing
                        : ObjectValue.empty(object.position());
                merged.put(key, merge(earlier, object, keyPath));
                return;
            }
            merged.put(key, value);
        });
        return new ObjectValue(merged, base.position());
    }

    /**
     * A null that removed a key.
     *
     * @param path The path of the key.
     * @param position The position of the null.
     */
    record Removal(KeyPath path, SourcePosition position) {}
}
