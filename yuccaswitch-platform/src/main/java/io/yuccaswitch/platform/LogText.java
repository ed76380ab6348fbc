package io.yuccaswitch.platform;

/** Makes texts of other writers fit for log lines. */
public final class LogText {

    /**
     * The maximum length of a text in a log line, in characters. Documents are written by others and may be megabytes
     * long.
     */
    private static final int MAXIMUM_LENGTH = 160;

    /** This class has no instances. */
    private LogText() {}

    /**
     * Makes a text fit for a field of a log line.
     *
     * @param text The text.
     * @return The text, truncated to a length that suits a log, in which each character other than a printable one of
     *     ASCII, and each quotation mark, is replaced by its number.
     */
    public static String printable(String text) {
        StringBuilder printable = new StringBuilder();
        text.chars().limit(MAXIMUM_LENGTH).forEach(character -> {
            if (character < ' ' || character > '~' || character == '"') {
                printable.append(String.format("\\u%04x", character));
            } else {
                printable.append((char) character);
            }
        });
        return printable.toString();
    }

    /**
     * Describes an exception.
     *
     * @param exception The exception.
     * @return The first line of the exception's message, as it may be written to a log.
     */
    public static String reason(Exception exception) {
        return printable(
                String.valueOf(exception.getMessage()).lines().findFirst().orElse(""));
    }
}
