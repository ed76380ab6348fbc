package io.yuccaswitch.node.gateway;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.regex.Pattern;
import okhttp3.Headers;

/**
 * Determines which headers of callers can be sent to endpoints unchanged. The client library writes the text of a value
 * as UTF-8, and removes white space at its ends.
 */
public final class SendableHeaders {

    /** The names of headers. */
    private static final Pattern TOKEN = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+");

    /** Values that consist of visible characters without spaces, which have one meaning everywhere. */
    private static final Pattern IDENTIFIER = Pattern.compile("[!-~]{1,256}");

    /** No instances. */
    private SendableHeaders() {}

    /**
     * Returns why a header can't be sent.
     *
     * @param name The name.
     * @param value The value.
     * @return The reason, or empty if it can be sent.
     */
    public static Optional<String> flaw(String name, String value) {
        if (!TOKEN.matcher(name).matches()) {
            return Optional.of("the name is not a token");
        }
        if (value.chars().anyMatch(c -> Character.isISOControl(c) && c != '\t')) {
            return Optional.of("the value contains a control character");
        }
        if (!StandardCharsets.UTF_8.newEncoder().canEncode(value)) {
            return Optional.of("the value is not valid Unicode");
        }
        String text = withoutSpaces(value);
        if (!text.isEmpty() && (isSpace(text.charAt(0)) || isSpace(text.charAt(text.length() - 1)))) {
            return Optional.of("the value begins or ends with white space that is not ASCII");
        }
        return Optional.empty();
    }

    /**
     * Adds a header.
     *
     * @param headers The headers.
     * @param name The name.
     * @param value The value.
     * @throws IllegalArgumentException If the header can't be sent unchanged.
     */
    static void add(Headers.Builder headers, String name, String value) {
        flaw(name, value).ifPresent(reason -> {
            throw new IllegalArgumentException("header " + name + ": " + reason);
        });
        headers.addUnsafeNonAscii(name, value);
    }

    /**
     * Returns whether a text can identify a request.
     *
     * @param text The text.
     * @return {@code true} if it consists of 1 to 256 visible ASCII characters.
     */
    public static boolean isIdentifier(String text) {
        return IDENTIFIER.matcher(text).matches();
    }

    /**
     * Returns the text of a value that was received as bytes.
     *
     * @param bytes The value, with each byte as one character.
     * @return The text that the client library writes as the same bytes, or empty if there is none.
     */
    static Optional<String> decode(String bytes) {
        try {
            return Optional.of(StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(bytes.getBytes(StandardCharsets.ISO_8859_1)))
                    .toString());
        } catch (CharacterCodingException _exception) {
            return Optional.empty();
        }
    }

    /**
     * Removes the spaces and tabs around a value, which don't belong to it.
     *
     * @param value The value.
     * @return The value without them.
     */
    private static String withoutSpaces(String value) {
        int begin = 0;
        int end = value.length();
        while (begin < end && isSpaceOrTab(value.charAt(begin))) {
            begin++;
        }
        while (end > begin && isSpaceOrTab(value.charAt(end - 1))) {
            end--;
        }
        return value.substring(begin, end);
    }

    /**
     * Returns whether a character is a space or a tab.
     *
     * @param c The character.
     * @return {@code true} if it is.
     */
    private static boolean isSpaceOrTab(char c) {
        return c == ' ' || c == '\t';
    }

    /**
     * Returns whether the client library removes a character at the ends of a value.
     *
     * @param c The character.
     * @return {@code true} if it does.
     */
    private static boolean isSpace(char c) {
        return Character.isWhitespace(c) || Character.isSpaceChar(c);
    }
}
