package io.yuccaswitch.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.SocketTimeoutException;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import okio.Buffer;

/**
 * Reads the answers of a connection one at a time. The head of an answer is handed over only when it is complete and
 * valid, and no byte after the end of an answer is handed over with it. Interim answers are left out.
 *
 * <p>The client library decodes heads as UTF-8, which loses other bytes. Heads are therefore handed over with each byte
 * encoded as one character.
 */
final class AnswerInputStream extends InputStream {

    /** The maximum size of a head with its interim answers, in bytes. */
    private static final long MAXIMUM_HEAD_BYTES = 16 << 10;

    /** The maximum number of interim answers before a final one. */
    private static final int MAXIMUM_INTERIM_ANSWERS = 16;

    /** The maximum size of the line before a chunk, and of all lines after the last chunk, in bytes. */
    private static final long MAXIMUM_CHUNK_LINE_BYTES = 8 << 10;

    /** The line before a chunk, with its size and an optional extension. */
    private static final Pattern CHUNK_LINE =
            Pattern.compile("([0-9A-Fa-f]{1,15})[\\t ]*(?:;[\\t\\x20-\\x7e\\x80-\\xff]*)?");

    /** The base of the sizes of chunks. */
    private static final int HEXADECIMAL = 16;

    /** The line terminator. */
    private static final String LINE_END = "\r\n";

    /** The bytes that the peer sends. */
    private final LineReader reader;

    /** Returns why a request could not be written, if that failed. */
    private final Supplier<Optional<IOException>> sendingFailure;

    /** Receives what is wrong with answers and the connection. */
    private final AnswerObserver observer;

    /** Returns the address of the peer, for the observer. */
    private final Supplier<String> peer;

    /** The lines that were read and not yet handed over. */
    private final Buffer lines = new Buffer();

    /** The part of an answer that is read next. */
    private Part part = Part.NONE;

    /** The method of the request whose answer is read. */
    private String method = "";

    /** The number of bytes of the body or the chunk that were not yet read. */
    private long remainingBytes;

    /** The number of bytes that the lines of the current head or trailer may still have. */
    private long remainingLineBytes;

    /** The number of interim answers before the current one. */
    private int interimAnswers;

    /**
     * Creates a stream.
     *
     * @param source The bytes that the peer sends.
     * @param sendingFailure Returns why a request could not be written, if that failed.
     * @param observer Receives what is wrong with answers and the connection.
     * @param peer Returns the address of the peer, for the observer.
     */
    AnswerInputStream(
            ByteSource source,
            Supplier<Optional<IOException>> sendingFailure,
            AnswerObserver observer,
            Supplier<String> peer) {
        reader = new LineReader(source);
        this.sendingFailure = sendingFailure;
        this.observer = observer;
        this.peer = peer;
    }

    /**
     * Determines without waiting whether the connection can be used for a request, and reports it if not. No answer is
     * being read.
     *
     * @return The condition of the connection.
     */
    ConnectionCondition condition() {
        ConnectionCondition condition = reader.poll();
        if (condition != ConnectionCondition.IDLE) {
            observer.unusable(peer.get(), condition, EscapedBytes.of(reader.unread()));
        }
        return condition;
    }

    /**
     * Starts to read an answer.
     *
     * @param requestMethod The method of the request.
     */
    void expectAnswer(String requestMethod) {
        method = requestMethod;
        interimAnswers = 0;
        remainingLineBytes = MAXIMUM_HEAD_BYTES;
        part = part == Part.NONE ? Part.HEAD : part;
    }

    /** {@inheritDoc} */
    @Override
    public int read() throws IOException {
        byte[] single = new byte[1];
        return read(single, 0, 1) < 0 ? -1 : single[0] & 0xff;
    }

    /** {@inheritDoc} */
    @Override
    public int read(byte[] target, int offset, int length) throws IOException {
        if (length == 0) {
            return 0;
        }
        if (part == Part.FAILED) {
            throw new IOException("an earlier answer was malformed");
        }
        while (lines.exhausted()) {
            if (part == Part.NONE) {
                return readNothing();
            }
            if (part == Part.BODY || part == Part.CHUNK) {
                return readContent(target, offset, length);
            }
            if (part == Part.UNTIL_CLOSE) {
                return readUntilClose(target, offset, length);
            }
            readLines();
        }
        return lines.read(target, offset, length);
    }

    /**
     * Answers a read between two answers, with which the client library checks the connection.
     *
     * @return -1 if the connection can't be used again.
     * @throws SocketTimeoutException If the connection can be used again.
     */
    private int readNothing() throws SocketTimeoutException {
        if (condition() != ConnectionCondition.IDLE) {
            return -1;
        }
        throw new SocketTimeoutException("no answer is expected");
    }

    /**
     * Reads the lines of a part.
     *
     * @throws IOException If the lines are malformed, or the connection ended or failed.
     */
    private void readLines() throws IOException {
        try {
            switch (part) {
                case HEAD -> readHead();
                case CHUNK_LINE -> readChunkLine();
                case CHUNK_END -> readChunkEnd();
                default -> readTrailer();
            }
        } catch (MalformedAnswerException exception) {
            part = Part.FAILED;
            observer.malformed(peer.get(), exception);
            throw exception;
        }
    }

    /**
     * Reads a head.
     *
     * @throws IOException If the head is malformed, or the connection ended or failed.
     */
    private void readHead() throws IOException {
        requireVersionPrefix();
        AnswerHead head = AnswerHead.ofStatusLine(readLine(AnswerFault.HEAD_SIZE));
        for (String line = readLine(AnswerFault.HEAD_SIZE); !line.isEmpty(); line = readLine(AnswerFault.HEAD_SIZE)) {
            head.add(line);
        }
        if (!head.isInterim()) {
            BodyFraming framing = head.framing(method);
            lines.writeUtf8(head.toText(method));
            begin(framing);
        } else if (++interimAnswers > MAXIMUM_INTERIM_ANSWERS) {
            throw new MalformedAnswerException(AnswerFault.INTERIM_ANSWERS, "");
        }
    }

    /**
     * Verifies that a status line begins, without waiting for its end.
     *
     * @throws IOException If another line begins, or the connection ended or failed.
     */
    private void requireVersionPrefix() throws IOException {
        for (int index = 0; index < AnswerHead.VERSION_PREFIX.length(); index++) {
            if (reader.peek(index) != AnswerHead.VERSION_PREFIX.charAt(index)) {
                throw new MalformedAnswerException(AnswerFault.STATUS_LINE, reader.unread());
            }
        }
    }

    /**
     * Starts to read the body.
     *
     * @param framing The framing of the body.
     */
    private void begin(BodyFraming framing) {
        remainingBytes = framing.length();
        part = switch (framing.kind()) {
            case FIXED -> remainingBytes == 0 ? Part.NONE : Part.BODY;
            case CHUNKED -> Part.CHUNK_LINE;
            case UNTIL_CLOSE -> Part.UNTIL_CLOSE;
        };
    }

    /**
     * Reads the line before a chunk, and hands it over without its extension.
     *
     * @throws IOException If the line is malformed, or the connection ended or failed.
     */
    private void readChunkLine() throws IOException {
        remainingLineBytes = MAXIMUM_CHUNK_LINE_BYTES;
        String line = readLine(AnswerFault.CHUNK);
        Matcher matcher = CHUNK_LINE.matcher(line);
        if (!matcher.matches()) {
            throw new MalformedAnswerException(AnswerFault.CHUNK, line);
        }
        handOver(matcher.group(1));
        remainingBytes = Long.parseLong(matcher.group(1), HEXADECIMAL);
        part = remainingBytes == 0 ? Part.TRAILER : Part.CHUNK;
    }

    /**
     * Reads the terminator of a chunk.
     *
     * @throws IOException If the chunk is longer than stated, or the connection ended or failed.
     */
    private void readChunkEnd() throws IOException {
        String line = readLine(AnswerFault.CHUNK);
        if (!line.isEmpty()) {
            throw new MalformedAnswerException(AnswerFault.CHUNK, line);
        }
        handOver(line);
        part = Part.CHUNK_LINE;
    }

    /**
     * Reads a line after the last chunk. Trailers are left out, as no client uses them.
     *
     * @throws IOException If the lines are malformed, or the connection ended or failed.
     */
    private void readTrailer() throws IOException {
        String line = readLine(AnswerFault.TRAILER);
        if (!line.isEmpty()) {
            AnswerHead.requireHeader(line);
            return;
        }
        handOver(line);
        part = Part.NONE;
    }

    /**
     * Reads a line.
     *
     * @param excess The fault if the line is too long.
     * @return The line without its terminator.
     * @throws IOException If the line is too long, or the connection ended or failed.
     */
    private String readLine(AnswerFault excess) throws IOException {
        Optional<String> line = reader.readLine(remainingLineBytes);
        if (line.isEmpty()) {
            throw new MalformedAnswerException(excess, "");
        }
        remainingLineBytes -= line.get().length() + LINE_END.length();
        return line.get();
    }

    /**
     * Hands over a line.
     *
     * @param line The line without its terminator.
     */
    private void handOver(String line) {
        lines.writeUtf8(line).writeUtf8(LINE_END);
    }

    /**
     * Reads bytes of the content, of a body of known length or of a chunk.
     *
     * @param target Receives the bytes.
     * @param offset The position of the first byte.
     * @param length The maximum number of bytes.
     * @return The number of bytes, or -1 if the connection ended.
     * @throws IOException If the connection failed.
     */
    private int readContent(byte[] target, int offset, int length) throws IOException {
        int count = reader.read(target, offset, (int) Math.min(length, remainingBytes));
        remainingBytes -= Math.max(0, count);
        if (remainingBytes == 0) {
            part = part == Part.BODY ? Part.NONE : Part.CHUNK_END;
        }
        return count;
    }

    /**
     * Reads bytes that the end of the connection delimits. If the request could not be written, the end is that of a
     * broken connection, and the answer may be cut.
     *
     * @param target Receives the bytes.
     * @param offset The position of the first byte.
     * @param length The maximum number of bytes.
     * @return The number of bytes, or -1 if the connection ended in order.
     * @throws IOException If the connection failed.
     */
    private int readUntilClose(byte[] target, int offset, int length) throws IOException {
        int count = reader.read(target, offset, length);
        Optional<IOException> failure = count < 0 ? sendingFailure.get() : Optional.empty();
        if (failure.isPresent()) {
            throw new IOException("the connection failed while the request was sent", failure.get());
        }
        return count;
    }

    /** The parts of an answer. */
    private enum Part {
        /** No answer is expected. */
        NONE,
        /** The status line and the headers. */
        HEAD,
        /** A body of known length. */
        BODY,
        /** The line before a chunk, with its size. */
        CHUNK_LINE,
        /** The content of a chunk. */
        CHUNK,
        /** The terminator of a chunk. */
        CHUNK_END,
        /** The lines after the last chunk. */
        TRAILER,
        /** Bytes that the end of the connection delimits. */
        UNTIL_CLOSE,
        /** Nothing, since an answer was malformed. */
        FAILED
    }
}
