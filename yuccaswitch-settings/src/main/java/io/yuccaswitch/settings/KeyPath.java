package io.yuccaswitch.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * The path of keys that leads to a value, printed as {@code pools.matcher-lm.kind}.
 *
 * @param segments The keys from the outermost to the innermost.
 */
public record KeyPath(List<String> segments) {

    /** The path of the root of the document. */
    public static final KeyPath ROOT = new KeyPath(List.of());

    /** Copies the segments. */
    public KeyPath {
        segments = List.copyOf(segments);
    }

    /**
     * Creates a path of keys.
     *
     * @param segments The keys from the outermost to the innermost.
     * @return The path.
     */
    public static KeyPath of(String... segments) {
        return new KeyPath(List.of(segments));
    }

    /**
     * Returns the path of a key within the object at this path.
     *
     * @param key The key.
     * @return The path of the key.
     */
    public KeyPath child(String key) {
        List<String> childSegments = new ArrayList<>(segments);
        childSegments.add(key);
        return new KeyPath(childSegments);
    }

    /**
     * Returns the path of the enclosing object.
     *
     * @return The parent path, or this path if it is the root.
     */
    public KeyPath parent() {
        return segments.isEmpty() ? this : new KeyPath(segments.subList(0, segments.size() - 1));
    }

    /**
     * Returns whether this is the path of the root of the document.
     *
     * @return {@code true} if the path has no segments.
     */
    public boolean isRoot() {
        return segments.isEmpty();
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return segments.stream().map(KeyPath::quoted).collect(Collectors.joining("."));
    }

    /**
     * Quotes a key if it contains a dot.
     *
     * @param segment The key.
     * @return The key as printed.
     */
    private static String quoted(String segment) {
        return segment.contains(".") ? '"' + segment + '"' : segment;
    }
}
