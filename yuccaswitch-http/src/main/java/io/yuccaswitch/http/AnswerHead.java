package io.yuccaswitch.http;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Validates the head of an answer line by line, as RFC 9112 and RFC 9110 define it. Each character of a line is one
 * byte.
 */
final class AnswerHead {

    /** The beginning of each status line. */
    static final String VERSION_PREFIX = "HTTP/1.";

    /** A status line. The reason may be missing together with the space before it. */
    private static final Pattern STATUS_LINE =
            Pattern.compile("HTTP/1\\.([01]) ([0-9]{3})(?: ([\\t\\x20-\\x7e\\x80-\\xff]*))?");

    /**
     * The beginning of a status line within another line. If an endpoint breaks off within a line and starts another
     * answer, the two are one line. A header that quotes a status line is rejected as well, as it looks the same.
     */
    private static final Pattern EMBEDDED_STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [0-9]{3}(?: |$)");

    /** The name of a header. */
    private static final Pattern HEADER_NAME = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+");

    /** The value of a header, which may contain bytes that are not ASCII. */
    private static final Pattern HEADER_VALUE = Pattern.compile("[\\t\\x20-\\x7e\\x80-\\xff]*");

    /** A length, of as many digits as fit into a number of 64 bits. */
    private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");

    /** The header that lists the headers of the connection, which are not part of the answer. */
    private static final String CONNECTION = "connection";

    /** The header with the length of the body. */
    private static final String CONTENT_LENGTH = "content-length";

    /** The header with the coding in which the body is transferred. */
    private static final String TRANSFER_ENCODING = "transfer-encoding";

    /** The headers that frame the body, in lower case. */
    private static final Set<String> FRAMING_HEADERS = Set.of(CONTENT_LENGTH, TRANSFER_ENCODING);

    /** The only supported transfer coding. */
    private static final String CHUNKED = "chunked";

    /** The separator between the elements of a list. */
    private static final Pattern LIST_SEPARATOR = Pattern.compile("[\\t ]*,[\\t ]*");

    /** The method whose answers have no body. */
    private static final String HEAD_METHOD = "HEAD";

    /** The line terminator. */
    private static final String LINE_END = "\r\n";

    /** The status of a connection that changes to another protocol. */
    private static final int SWITCHING_PROTOCOLS = 101;

    /** The lowest status. */
    private static final int LOWEST_STATUS = 100;

    /** The lowest status of a final answer. */
    private static final int LOWEST_FINAL_STATUS = 200;

    /** The highest status. */
    private static final int HIGHEST_STATUS = 599;

    /** The status of an answer without content. */
    private static final int NO_CONTENT = 204;

    /** The status of an answer that asks the client to reset its form, which has no content. */
    private static final int RESET_CONTENT = 205;

    /** The status of an answer whose content the client has already. */
    private static final int NOT_MODIFIED = 304;

    /** The status line. */
    private final String statusLine;

    /** The headers. */
    private final List<Line> headers = new ArrayList<>();

    /** The status. */
    private final int status;

    /** Whether the answer is of HTTP/1.0, which has no transfer codings. */
    private final boolean isVersion10;

    /** The values of the lengths that the head states. */
    private final List<String> lengths = new ArrayList<>();

    /** The names of the headers of the connection, in lower case. */
    private final Set<String> connectionHeaders = new HashSet<>();

    /** The values of the transfer codings that the head states. */
    private final List<String> transferCodings = new ArrayList<>();

    /**
     * Creates a head that consists of a status line.
     *
     * @param statusLine The status line.
     * @param status The status.
     * @param isVersion10 Whether the answer is of HTTP/1.0.
     */
    private AnswerHead(String statusLine, int status, boolean isVersion10) {
        this.statusLine = statusLine;
        this.status = status;
        this.isVersion10 = isVersion10;
    }

    /**
     * Reads a status line.
     *
     * @param line The line without its terminator.
     * @return The head, to which the further lines are added.
     * @throws MalformedAnswerException If the line is not a status line, or its status is not allowed.
     */
    static AnswerHead ofStatusLine(String line) throws MalformedAnswerException {
        Matcher matcher = STATUS_LINE.matcher(line);
        if (!matcher.matches()) {
            throw new MalformedAnswerException(AnswerFault.STATUS_LINE, line);
        }
        requireOneStatusLine(line, 1);
        int status = Integer.parseInt(matcher.group(2));
        if (status < LOWEST_STATUS || status > HIGHEST_STATUS || status == SWITCHING_PROTOCOLS) {
            throw new MalformedAnswerException(AnswerFault.STATUS_CODE, line);
        }
        return new AnswerHead(line, status, matcher.group(1).equals("0"));
    }

    /**
     * Adds a header line.
     *
     * @param line The line without its terminator.
     * @throws MalformedAnswerException If the line is not a header.
     */
    void add(String line) throws MalformedAnswerException {
        int colon = requireHeader(line);
        String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
        String value = line.substring(colon + 1).strip();
        if (name.equals(CONTENT_LENGTH)) {
            lengths.add(value);
        } else if (name.equals(TRANSFER_ENCODING)) {
            transferCodings.add(value.toLowerCase(Locale.ROOT));
        } else if (name.equals(CONNECTION)) {
            LIST_SEPARATOR.splitAsStream(value.toLowerCase(Locale.ROOT)).forEach(connectionHeaders::add);
        }
        headers.add(new Line(name, line));
    }

    /**
     * Verifies that a line is a header.
     *
     * @param line The line without its terminator.
     * @return The position of the colon after the name.
     * @throws MalformedAnswerException If the line is not a header.
     */
    static int requireHeader(String line) throws MalformedAnswerException {
        requireOneStatusLine(line, 0);
        int colon = line.indexOf(':');
        if (colon < 0 || !HEADER_NAME.matcher(line.substring(0, colon)).matches()) {
            throw new MalformedAnswerException(AnswerFault.HEADER_NAME, line);
        }
        if (!HEADER_VALUE.matcher(line.substring(colon + 1)).matches()) {
            throw new MalformedAnswerException(AnswerFault.HEADER_VALUE, line);
        }
        return colon;
    }

    /**
     * Verifies that no further status line begins within a line.
     *
     * @param line The line.
     * @param start The position from which the line is searched.
     * @throws MalformedAnswerException If one begins.
     */
    private static void requireOneStatusLine(String line, int start) throws MalformedAnswerException {
        int version = line.indexOf(VERSION_PREFIX, start);
        if (version >= 0 && EMBEDDED_STATUS_LINE.matcher(line).find(version)) {
            throw new MalformedAnswerException(AnswerFault.SECOND_STATUS_LINE, line);
        }
    }

    /**
     * Returns whether a final answer follows.
     *
     * @return {@code true} for an interim answer.
     */
    boolean isInterim() {
        return status < LOWEST_FINAL_STATUS;
    }

    /**
     * Determines the framing of the body. The head is complete.
     *
     * @param method The method of the request.
     * @return The framing.
     * @throws MalformedAnswerException If the head states none that is unambiguous.
     */
    BodyFraming framing(String method) throws MalformedAnswerException {
        BodyFraming stated = statedFraming();
        if (method.equals(HEAD_METHOD) || status == NOT_MODIFIED) {
            return BodyFraming.NONE;
        }
        if (status == NO_CONTENT && stated.kind() == BodyFraming.Kind.CHUNKED) {
            throw new MalformedAnswerException(AnswerFault.TRANSFER_CODING, "chunked with status " + status);
        }
        if ((status == NO_CONTENT || status == RESET_CONTENT) && stated.length() > 0) {
            throw new MalformedAnswerException(AnswerFault.CONTENT_LENGTH, stated.length() + " with status " + status);
        }
        return status == NO_CONTENT ? BodyFraming.NONE : stated;
    }

    /**
     * Returns the head for the client library. It contains no framing where the answer has no body, since the library
     * reads a body wherever one is stated. It contains no header that {@code Connection} lists: such a header concerns
     * the connection only, so that it must neither be forwarded nor state anything about the answer.
     *
     * @param method The method of the request.
     * @return The lines with their terminators, including the empty line after them.
     */
    String toText(String method) {
        boolean statesBody = method.equals(HEAD_METHOD) || (status != NO_CONTENT && status != NOT_MODIFIED);
        StringBuilder text = new StringBuilder(statusLine).append(LINE_END);
        for (Line header : headers) {
            boolean isPart = FRAMING_HEADERS.contains(header.name())
                    ? statesBody
                    : header.name().equals(CONNECTION) || !connectionHeaders.contains(header.name());
            if (isPart) {
                text.append(header.text()).append(LINE_END);
            }
        }
        return text.append(LINE_END).toString();
    }

    /**
     * Reads the framing from the headers.
     *
     * @return The framing.
     * @throws MalformedAnswerException If the headers contradict each other or can't be read.
     */
    private BodyFraming statedFraming() throws MalformedAnswerException {
        if (!transferCodings.isEmpty()) {
            if (isVersion10 || !transferCodings.equals(List.of(CHUNKED))) {
                throw new MalformedAnswerException(AnswerFault.TRANSFER_CODING, String.join(" and ", transferCodings));
            }
            if (!lengths.isEmpty()) {
                throw new MalformedAnswerException(
                        AnswerFault.CONTENT_LENGTH, String.join(" and ", lengths) + " with a transfer coding");
            }
            return BodyFraming.CHUNKED;
        }
        if (lengths.isEmpty()) {
            return BodyFraming.UNTIL_CLOSE;
        }
        if (lengths.size() > 1 || !LENGTH.matcher(lengths.get(0)).matches()) {
            throw new MalformedAnswerException(AnswerFault.CONTENT_LENGTH, String.join(" and ", lengths));
        }
        return BodyFraming.ofLength(Long.parseLong(lengths.get(0)));
    }

    /**
     * A header.
     *
     * @param name The name in lower case.
     * @param text The line without its terminator.
     */
    private record Line(String name, String text) {}
}
