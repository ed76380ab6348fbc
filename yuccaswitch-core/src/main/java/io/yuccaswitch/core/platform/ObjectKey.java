package io.yuccaswitch.core.platform;

/**
 * The key of an object on the platform.
 *
 * @param kind The object's kind, such as {@code lease}.
 * @param name The object's name within its kind.
 */
public record ObjectKey(String kind, String name) {

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return kind + "/" + name;
    }
}
