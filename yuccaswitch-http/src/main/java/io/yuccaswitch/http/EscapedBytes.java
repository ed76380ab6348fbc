package io.yuccaswitch.http;

/** Makes received bytes safe for logs and messages. */
public final class EscapedBytes {

    /** The maximum number of bytes that are shown. */
    private static final int MAXIMUM_BYTES = 80;

    /** The characters that delimit texts in logs or introduce an escape sequence. */
    private static final String SPECIAL_CHARACTERS = "\"'\\";

    /** This class has no instances. */
    private EscapedBytes() {}

    /**
     * Escapes bytes and truncates them to a length that suits a log.
     *
     * @param bytes The bytes, each as one character.
     * @return The text, in which all characters other than printable ASCII are escaped.
     */
    public static String of(String bytes) {
        StringBuilder text = new StringBuilder();
        for (int index = 0; index < Math.min(bytes.length(), MAXIMUM_BYTES); index++) {
            append(text, bytes.charAt(index));
        }
        return bytes.length() > MAXIMUM_BYTES ? text.append("...").toString() : text.toString();
    }

    /**
     * Appends a character.
     *
     * @param text The text.
     * @param character The character.
     */
    private static void append(StringBuilder text, char character) {
        boolean isPrintable = character >= ' ' && character < 0x7f;
        if (isPrintable && SPECIAL_CHARACTERS.indexOf(character) < 0) {
            text.append(character);
        } else {
            text.append("\\x")
                    .append(Character.forDigit(character >> 4 & 0xf, 16))
                    .append(Character.forDigit(character & 0xf, 16));
        }
    }
}
