package io.yuccaswitch.command.report;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.SortedMap;
import java.util.TreeMap;

/** Extracts the scalar values of a status document by their paths. */
public final class StatusValues {

    /** This class has no instances. */
    private StatusValues() {}

    /**
     * Returns all values of a document.
     *
     * @param document The document.
     * @return The values as text by their paths.
     */
    public static SortedMap<String, String> all(JsonNode document) {
        SortedMap<String, String> values = new TreeMap<>();
        leaves(document).forEach((path, leaf) -> values.put(path, leaf.asText()));
        return values;
    }

    /**
     * Returns the numbers of a document.
     *
     * @param document The document.
     * @return The numbers by their paths.
     */
    public static SortedMap<String, Double> numbers(JsonNode document) {
        SortedMap<String, Double> values = new TreeMap<>();
        leaves(document).forEach((path, leaf) -> {
            if (leaf.isNumber()) {
                values.put(path, leaf.asDouble());
            }
        });
        return values;
    }

    /**
     * Returns the scalar values of a document.
     *
     * @param document The document.
     * @return The values by their paths.
     */
    private static SortedMap<String, JsonNode> leaves(JsonNode document) {
        SortedMap<String, JsonNode> leaves = new TreeMap<>();
        collect("", document, leaves);
        return leaves;
    }

    /**
     * Collects the scalar values at and below a path.
     *
     * @param path The path.
     * @param value The value at the path.
     * @param leaves The values to add to.
     */
    private static void collect(String path, JsonNode value, SortedMap<String, JsonNode> leaves) {
        if (value.isObject()) {
            value.properties().forEach(entry -> collect(join(path, entry.getKey()), entry.getValue(), leaves));
        } else if (value.isArray()) {
            for (int i = 0; i < value.size(); i++) {
                collect(join(path, Integer.toString(i)), value.get(i), leaves);
            }
        } else {
            leaves.put(path, value);
        }
    }

    /**
     * Joins a path and a key.
     *
     * @param path The path.
     * @param key The key.
     * @return The joined path.
     */
    private static String join(String path, String key) {
        return path.isEmpty() ? key : path + "." + key;
    }
}
