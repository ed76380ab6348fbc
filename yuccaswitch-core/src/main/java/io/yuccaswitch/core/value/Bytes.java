package io.yuccaswitch.core.value;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** An immutable sequence of bytes, compared by content. */
public final class Bytes {

    /** The empty sequence. */
    public static final Bytes EMPTY = new Bytes(new byte[0]);

    /** The bytes, never changed after construction. */
    private final byte[] content;

    /**
     * Creates a new sequence.
     *
     * @param content The bytes, which must not be changed by the caller afterwards.
     */
    private Bytes(byte[] content) {
        this.content = content;
    }

    /**
     * Wraps an array without copying it. The caller must not change the array afterwards.
     *
     * @param content The array to wrap.
     * @return The sequence.
     */
    public static Bytes wrap(byte[] content) {
        return content.length == 0 ? EMPTY : new Bytes(content);
    }

    /**
     * Encodes a text as UTF-8.
     *
     * @param text The text to encode.
     * @return The sequence.
     */
    public static Bytes ofUtf8(String text) {
        return wrap(text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns the underlying array, which must not be changed.
     *
     * @return The underlying array.
     */
    public byte[] unsafeArray() {
        return content;
    }

    /**
     * Decodes this sequence as UTF-8.
     *
     * @return The text.
     */
    public String toUtf8() {
        return new String(content, StandardCharsets.UTF_8);
    }

    /**
     * Returns the number of bytes.
     *
     * @return The number of bytes.
     */
    public int size() {
        return content.length;
    }

    /** {@inheritDoc} */
    @Override
    public boolean equals(Object other) {
        return other instanceof Bytes bytes && Arrays.equals(content, bytes.content);
    }

    /** {@inheritDoc} */
    @Override
    public int hashCode() {
        return Arrays.hashCode(content);
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return "Bytes[" + content.length + "]";
    }
}
