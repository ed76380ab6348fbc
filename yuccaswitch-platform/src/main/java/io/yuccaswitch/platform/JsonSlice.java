package io.yuccaswitch.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.yuccaswitch.core.value.Bytes;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A JSON value within the bytes of an answer, which is divided into its fields or elements without being read. Each of
 * these is then read on its own, so that one that exceeds the limits of the JSON reader does not make the others
 * unreadable. Dividing a value needs neither recursion nor memory beyond one bit for each level of nesting.
 */
public final class JsonSlice {

    /** An object without fields. */
    public static final JsonSlice EMPTY = new JsonSlice(new byte[] {'{', '}'}, 0, 2);

    /** The number of characters of an escape sequence of a name's character. */
    private static final int ESCAPE_LENGTH = 6;

    /** The bytes of the answer. */
    private final byte[] bytes;

    /** The position of the first byte. */
    private final int start;

    /** The position after the last byte. */
    private final int end;

    /**
     * Creates a slice.
     *
     * @param bytes The bytes of the answer.
     * @param start The position of the first byte.
     * @param end The position after the last byte.
     */
    private JsonSlice(byte[] bytes, int start, int end) {
        this.bytes = bytes;
        this.start = start;
        this.end = end;
    }

    /**
     * Returns the slice of a whole answer.
     *
     * @param body The answer.
     * @return The slice.
     * @throws IOException If the answer is not one complete value.
     */
    public static JsonSlice of(Bytes body) throws IOException {
        byte[] bytes = body.unsafeArray();
        Cursor cursor = new Cursor(bytes, 0, bytes.length);
        JsonSlice slice = cursor.value();
        if (cursor.peek() != Cursor.END) {
            throw new IOException("invalid JSON: characters after the document");
        }
        return slice;
    }

    /**
     * Finds a field of an object.
     *
     * @param name The name of the field, in ASCII.
     * @return The last field of this name, or empty if there is none or this is no object.
     * @throws IOException If this is not valid JSON.
     */
    public Optional<JsonSlice> field(String name) throws IOException {
        return Optional.ofNullable(fields(List.of(name)).get(name));
    }

    /**
     * Finds fields of an object.
     *
     * @param names The names of the fields, in ASCII.
     * @return The fields that exist, the last one of each name. Empty if this is no object.
     * @throws IOException If this is not valid JSON.
     */
    public Map<String, JsonSlice> fields(List<String> names) throws IOException {
        Map<String, JsonSlice> found = new HashMap<>();
        Cursor cursor = new Cursor(bytes, start, end);
        if (cursor.peek() != '{') {
            return found;
        }
        cursor.expect('{');
        boolean first = true;
        while (cursor.continues('}', first)) {
            first = false;
            JsonSlice name = cursor.string();
            cursor.expect(':');
            JsonSlice value = cursor.value();
            names.stream().filter(name::isText).forEach(wanted -> found.put(wanted, value));
        }
        return found;
    }

    /**
     * Divides an array.
     *
     * @return The elements. Empty if this is no array.
     * @throws IOException If this is not valid JSON.
     */
    public List<JsonSlice> elements() throws IOException {
        List<JsonSlice> elements = new ArrayList<>();
        Cursor cursor = new Cursor(bytes, start, end);
        if (cursor.peek() != '[') {
            return elements;
        }
        cursor.expect('[');
        while (cursor.continues(']', elements.isEmpty())) {
            elements.add(cursor.value());
        }
        return elements;
    }

    /**
     * Reads the value.
     *
     * @param mapper The JSON codec.
     * @return The value.
     * @throws IOException If it is not valid JSON, or exceeds the limits of the codec.
     */
    public JsonNode read(ObjectMapper mapper) throws IOException {
        return mapper.readTree(bytes, start, end - start);
    }

    /**
     * Copies the text of the value.
     *
     * @return The bytes.
     */
    public Bytes copy() {
        return Bytes.wrap(Arrays.copyOfRange(bytes, start, end));
    }

    /**
     * Returns whether this value is a certain string.
     *
     * @param text The text, in ASCII.
     * @return {@code true} if it is, whether or not its characters are escaped.
     */
    private boolean isText(String text) {
        int position = start + 1;
        for (int i = 0; i < text.length(); i++) {
            int length = 1;
            int character = position < end - 1 ? bytes[position] : Cursor.END;
            if (character == '\\' && position + ESCAPE_LENGTH < end && bytes[position + 1] == 'u') {
                length = ESCAPE_LENGTH;
                character = escaped(position + 2);
            }
            if (character != text.charAt(i)) {
                return false;
            }
            position += length;
        }
        return position == end - 1;
    }

    /**
     * Reads the number in an escape sequence.
     *
     * @param position The position of its first digit.
     * @return The number, or {@link Cursor#END} if it has other characters than digits.
     */
    private int escaped(int position) {
        int number = 0;
        for (int i = position; i < position + ESCAPE_LENGTH - 2; i++) {
            int digit = Character.digit(bytes[i], Character.MAX_RADIX);
            if (digit < 0 || digit >= Cursor.HEXADECIMAL) {
                return Cursor.END;
            }
            number = number * Cursor.HEXADECIMAL + digit;
        }
        return number;
    }

    /** A position in the bytes of an answer. */
    private static final class Cursor {

        /** What is returned after the last byte. */
        static final int END = -1;

        /** The base of the numbers in escape sequences. */
        static final int HEXADECIMAL = 16;

        /** The bytes. */
        private final byte[] bytes;

        /** The position after the last byte. */
        private final int end;

        /** The position of the next byte. */
        private int position;

        /**
         * Creates a cursor.
         *
         * @param bytes The bytes.
         * @param start The position of the first byte.
         * @param end The position after the last byte.
         */
        Cursor(byte[] bytes, int start, int end) {
            this.bytes = bytes;
            this.end = end;
            position = start;
        }

        /**
         * Skips white space.
         *
         * @return The next byte, which is not skipped, or {@link #END}.
         */
        int peek() {
            while (position < end && isSpace(bytes[position])) {
                position++;
            }
            return position < end ? bytes[position] : END;
        }

        /**
         * Skips a byte.
         *
         * @param expected The byte.
         * @throws IOException If the next byte is another one.
         */
        void expect(int expected) throws IOException {
            if (peek() != expected) {
                throw invalid("'" + (char) expected + "' expected");
            }
            position++;
        }

        /**
         * Skips what precedes the next member of an object or array, or its end.
         *
         * @param close The byte that ends it.
         * @param first Whether no member precedes.
         * @return Whether there is another member.
         * @throws IOException If neither follows.
         */
        boolean continues(int close, boolean first) throws IOException {
            if (peek() == close) {
                position++;
                return false;
            }
            if (!first) {
                expect(',');
            }
            return true;
        }

        /**
         * Skips a value.
         *
         * @return Its slice.
         * @throws IOException If no complete value follows.
         */
        JsonSlice value() throws IOException {
            int next = peek();
            if (next == '"') {
                return string();
            }
            int start = position;
            if (next == '{' || next == '[') {
                skipNested();
            } else {
                skipScalar();
            }
            return new JsonSlice(bytes, start, position);
        }

        /**
         * Skips a string.
         *
         * @return Its slice with the quotation marks.
         * @throws IOException If no complete string follows.
         */
        JsonSlice string() throws IOException {
            expect('"');
            int start = position - 1;
            while (position < end) {
                int next = bytes[position];
                position += next == '\\' ? 2 : 1;
                if (next == '"') {
                    return new JsonSlice(bytes, start, position);
                }
            }
            throw invalid("string without end");
        }

        /**
         * Skips an object or array. Only its brackets and strings are checked, as it is read later.
         *
         * @throws IOException If it has no end, or a bracket doesn't match the one that it closes.
         */
        private void skipNested() throws IOException {
            BitSet objects = new BitSet();
            int depth = 0;
            do {
                int next = peek();
                if (next == END) {
                    throw invalid("unexpected end");
                }
                if (next == '"') {
                    string();
                    continue;
                }
                position++;
                if (next == '{' || next == '[') {
                    objects.set(depth, next == '{');
                    depth++;
                } else if (next == '}' || next == ']') {
                    depth--;
                    if (objects.get(depth) != (next == '}')) {
                        throw invalid("brackets do not match");
                    }
                }
            } while (depth > 0);
        }

        /**
         * Skips a number or literal.
         *
         * @throws IOException If none follows.
         */
        private void skipScalar() throws IOException {
            int start = position;
            while (position < end && !isSpace(bytes[position]) && ",:{}[]\"".indexOf(bytes[position]) < 0) {
                position++;
            }
            if (position == start) {
                throw invalid("value expected");
            }
        }

        /**
         * Creates the exception for an answer that is not valid JSON.
         *
         * @param reason The reason.
         * @return The exception.
         */
        private IOException invalid(String reason) {
            return new IOException("invalid JSON at byte " + Math.min(position, end) + ": " + reason);
        }

        /**
         * Returns whether a byte is white space.
         *
         * @param next The byte.
         * @return {@code true} if it is.
         */
        private static boolean isSpace(int next) {
            return next == ' ' || next == '\n' || next == '\r' || next == '\t';
        }
    }
}
