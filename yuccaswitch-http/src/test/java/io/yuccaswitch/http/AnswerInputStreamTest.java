package io.yuccaswitch.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.EOFException;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which bytes of a connection are handed over as an answer. */
final class AnswerInputStreamTest {

    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String CHUNKED = OK + "Transfer-Encoding: chunked\r\n\r\n";

    private final List<AnswerFault> faults = new ArrayList<>();
    private final List<String> unusableConnections = new ArrayList<>();

    private Optional<IOException> sendingFailure = Optional.empty();

    private final AnswerObserver observer = new AnswerObserver() {
        @Override
        public void malformed(String _peer, MalformedAnswerException exception) {
            faults.add(exception.fault());
        }

        @Override
        public void unusable(String _peer, ConnectionCondition condition, String bytes) {
            unusableConnections.add(condition + " " + bytes);
        }

        @Override
        public void received(int _bytes) {}
    };

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 7, 4096})
    void aValidAnswerIsHandedOverUnchanged(int blockBytes) throws IOException {
        String answer = OK + "X-Request-Id: a\r\nX-Empty:\r\nContent-Length: 5\r\n\r\nhello";
        AnswerInputStream stream = stream(ScriptedSource.open(answer, blockBytes));
        stream.expectAnswer("GET");
        assertThat(read(stream, answer.length())).isEqualTo(answer);
        assertThat(stream.condition()).isEqualTo(ConnectionCondition.IDLE);
        assertThat(faults).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 7, 4096})
    void aChunkedAnswerEndsWithItsLastChunk(int blockBytes) throws IOException {
        String answer = CHUNKED + "5\r\nhello\r\n1;extension=x\r\n!\r\n0\r\nX-Trailer: x\r\n\r\n";
        String expected = CHUNKED + "5\r\nhello\r\n1\r\n!\r\n0\r\n\r\n";
        AnswerInputStream stream = stream(ScriptedSource.open(answer + "HTTP/1.1", blockBytes));
        stream.expectAnswer("GET");
        assertThat(read(stream, expected.length())).isEqualTo(expected);
        assertThat(stream.condition()).isEqualTo(ConnectionCondition.UNREAD_BYTES);
        assertThat(faults).isEmpty();
    }

    @Test
    void anAnswerThatTheConnectionDelimitsIsNotWholeIfItsRequestCouldNotBeSent() throws IOException {
        String answer = OK + "\r\nhello";
        AnswerInputStream stream = stream(ScriptedSource.ended(answer));
        stream.expectAnswer("POST");
        sendingFailure = Optional.of(new IOException("broken pipe"));
        assertThat(read(stream, answer.length())).isEqualTo(answer);
        assertThatThrownBy(stream::read)
                .hasMessage("the connection failed while the request was sent")
                .hasRootCauseMessage("broken pipe");
    }

    @ParameterizedTest
    @MethodSource("answersByMethod")
    void noByteAfterTheEndOfAnAnswerIsHandedOver(String method, String answer) throws IOException {
        AnswerInputStream stream = stream(ScriptedSource.open(answer + "HTTP/1.1 500 Internal", 4096));
        stream.expectAnswer(method);
        assertThat(read(stream, answer.length())).isEqualTo(answer);
        assertThat(stream.read()).isEqualTo(-1);
        assertThat(stream.condition()).isEqualTo(ConnectionCondition.UNREAD_BYTES);
        assertThat(unusableConnections).containsOnly("UNREAD_BYTES HTTP/1.1 500 Internal");
    }

    static Stream<Arguments> answersByMethod() {
        return Stream.of(
                Arguments.of("GET", OK + "Content-Length: 2\r\n\r\nhi"),
                Arguments.of("POST", OK + "Content-Length: 0\r\n\r\n"),
                Arguments.of("GET", CHUNKED + "2\r\nhi\r\n0\r\n\r\n"),
                Arguments.of("HEAD", OK + "Content-Length: 2\r\n\r\n"),
                Arguments.of("GET", "HTTP/1.1 204 No Content\r\n\r\n"));
    }

    @Test
    void anAnswerWithoutALengthEndsWithItsConnection() throws IOException {
        String answer = OK + "\r\nhello";
        AnswerInputStream stream = stream(ScriptedSource.ended(answer));
        stream.expectAnswer("GET");
        assertThat(new String(stream.readAllBytes(), StandardCharsets.ISO_8859_1))
                .isEqualTo(answer);
        assertThat(stream.condition()).isEqualTo(ConnectionCondition.ENDED);
    }

    @Test
    void aConnectionThatHasEndedIsRecognisedBeforeItsNextUse() throws IOException {
        AnswerInputStream stream = stream(ScriptedSource.ended(""));
        assertThat(stream.condition()).isEqualTo(ConnectionCondition.ENDED);
        assertThat(stream.read()).isEqualTo(-1);
    }

    @ParameterizedTest
    @MethodSource("malformedAnswers")
    void aMalformedAnswerIsReported(String answer, AnswerFault fault) {
        AnswerInputStream stream = stream(ScriptedSource.ended(answer));
        stream.expectAnswer("GET");
        try {
            stream.readAllBytes();
        } catch (IOException _exception) {
            // Whether the answer is handed over does not matter here.
        }
        assertThat(faults).containsExactly(fault);
    }

    @ParameterizedTest
    @MethodSource("malformedChunks")
    void aBodyWithMalformedChunksHasNoEnd(String answer, AnswerFault fault) {
        AnswerInputStream stream = stream(ScriptedSource.ended(answer));
        stream.expectAnswer("GET");
        assertThatThrownBy(stream::readAllBytes)
                .isInstanceOfSatisfying(MalformedAnswerException.class, exception -> assertThat(exception.fault())
                        .isEqualTo(fault));
    }

    @ParameterizedTest
    @MethodSource({"malformedHeads", "malformedFraming"})
    void noByteOfAMalformedHeadIsHandedOver(String answer, AnswerFault fault) {
        AnswerInputStream stream = stream(ScriptedSource.ended(answer));
        stream.expectAnswer("GET");
        assertThatThrownBy(stream::read)
                .isInstanceOfSatisfying(MalformedAnswerException.class, exception -> assertThat(exception.fault())
                        .isEqualTo(fault));
    }

    @Test
    void interimAnswersAreLeftOut() throws IOException {
        String answer = OK + "Content-Length: 5\r\n\r\nhello";
        AnswerInputStream stream = stream(ScriptedSource.open(
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + answer, 4096));
        stream.expectAnswer("GET");
        assertThat(read(stream, answer.length())).isEqualTo(answer);
        assertThat(faults).isEmpty();
    }

    @Test
    void headersThatTheConnectionHeaderListsAreLeftOut() throws IOException {
        String framing = "Content-Length: 5\r\n\r\nhello";
        AnswerInputStream stream = stream(ScriptedSource.open(
                OK + "x-hop: 1\r\nConnection: close,X-HOP , , content-length\r\nX-Kept: 1\r\nX-Hop: 2\r\n"
                        + "connection: x-other, connection\r\nX-Other: 1\r\n" + framing,
                4096));
        stream.expectAnswer("GET");
        String expected = OK + "Connection: close,X-HOP , , content-length\r\nX-Kept: 1\r\n"
                + "connection: x-other, connection\r\n" + framing;
        assertThat(read(stream, expected.length())).isEqualTo(expected);
        assertThat(stream.condition()).isEqualTo(ConnectionCondition.IDLE);
    }

    @Test
    void bytesOfHeadersThatAreNotAsciiAreKept() throws IOException {
        AnswerInputStream stream =
                stream(ScriptedSource.open(OK + "X-A: \u00e9\u0080\r\nContent-Length: 0\r\n\r\n", 4096));
        stream.expectAnswer("GET");
        byte[] head = stream.readNBytes(OK.length() + 9);
        assertThat(new String(head, StandardCharsets.UTF_8)).endsWith("X-A: \u00e9\u0080");
    }

    @ParameterizedTest
    @ValueSource(strings = {"204 No Content", "304 Not Modified"})
    void anAnswerWithoutABodyStatesNoLength(String status) throws IOException {
        String length = status.startsWith("304") ? "5" : "0";
        AnswerInputStream stream =
                stream(ScriptedSource.open("HTTP/1.1 " + status + "\r\nContent-Length: " + length + "\r\n\r\n", 4096));
        stream.expectAnswer("GET");
        String expected = "HTTP/1.1 " + status + "\r\n\r\n";
        assertThat(read(stream, expected.length())).isEqualTo(expected);
        assertThatThrownBy(stream::read).isInstanceOf(SocketTimeoutException.class);
    }

    @ParameterizedTest
    @ValueSource(strings = {"X-Request-Line: GET /x HTTP/1.1", "Upgrade: HTTP/2.0, HTTP/1.1", "Server: HTTP/1.1"})
    void aHeaderThatNamesTheProtocolIsValid(String header) throws IOException {
        String answer = OK + header + "\r\nContent-Length: 0\r\n\r\n";
        AnswerInputStream stream = stream(ScriptedSource.open(answer, 4096));
        stream.expectAnswer("GET");
        assertThat(read(stream, answer.length())).isEqualTo(answer);
    }

    @Test
    void aStreamThatFailedHandsOverNothingMore() {
        AnswerInputStream stream =
                stream(ScriptedSource.open("HTTP/1.1 600 No\r\n" + OK + "Content-Length: 3\r\n\r\nold", 4096));
        stream.expectAnswer("GET");
        assertThatThrownBy(stream::read).isInstanceOf(MalformedAnswerException.class);
        assertThatThrownBy(stream::read).isInstanceOf(IOException.class);
        stream.expectAnswer("GET");
        assertThatThrownBy(stream::read).isInstanceOf(IOException.class);
    }

    @Test
    void aHeadThatEndsAfterAnyOfItsBytesIsNoAnswer() {
        String head = "HTTP/1.1 100 Continue\r\n\r\n" + OK + "X-Request-Id: a\r\nContent-Length: 5\r\n\r\n";
        for (int length = 0; length < head.length(); length++) {
            AnswerInputStream stream = stream(ScriptedSource.ended(head.substring(0, length)));
            stream.expectAnswer("GET");
            assertThatThrownBy(stream::read).as("after %d bytes", length).isInstanceOf(EOFException.class);
        }
    }

    @Test
    void bytesThatCannotBeAStatusLineAreRejectedWithoutWaitingForItsEnd() {
        AnswerInputStream stream = stream(ScriptedSource.open("\u0016\u0003", 1));
        stream.expectAnswer("GET");
        assertThatThrownBy(stream::read).isInstanceOf(MalformedAnswerException.class);
    }

    static Stream<Arguments> malformedAnswers() {
        return Stream.of(malformedHeads(), malformedFraming(), malformedChunks())
                .flatMap(answers -> answers);
    }

    static Stream<Arguments> malformedHeads() {
        String end = "Content-Length: 5\r\n\r\nhello";
        return Stream.of(
                Arguments.of("\r\n" + OK + end, AnswerFault.STATUS_LINE),
                Arguments.of("ICY 500 Error\r\n" + end, AnswerFault.STATUS_LINE),
                Arguments.of("HTTP/2.0 200 OK\r\n" + end, AnswerFault.STATUS_LINE),
                Arguments.of("HTTP/1.1  200 OK\r\n" + end, AnswerFault.STATUS_LINE),
                Arguments.of("HTTP/1.1 2000 OK\r\n" + end, AnswerFault.STATUS_LINE),
                Arguments.of("HTTP/1.1 -50 OK\r\n" + end, AnswerFault.STATUS_LINE),
                Arguments.of("HTTP/1.1 200 O\0K\r\n" + end, AnswerFault.STATUS_LINE),
                Arguments.of("HTTP/1.1 000 None\r\n" + end, AnswerFault.STATUS_CODE),
                Arguments.of("HTTP/1.1 101 Switching Protocols\r\n" + end, AnswerFault.STATUS_CODE),
                Arguments.of("HTTP/1.1 600 Beyond\r\n" + end, AnswerFault.STATUS_CODE),
                Arguments.of("HTTP/1.1 999 Beyond\r\n" + end, AnswerFault.STATUS_CODE),
                Arguments.of("HTTP/1.1 500 ISE\r\nHTTP/1.1 500 ISE\r\n" + end, AnswerFault.SECOND_STATUS_LINE),
                Arguments.of(OK + "HTTP/1.1 500 ISE\r\n" + end, AnswerFault.SECOND_STATUS_LINE),
                Arguments.of("HTTP/1.1 500 InternalHTTP/1.1 200 OK\r\n" + end, AnswerFault.SECOND_STATUS_LINE),
                Arguments.of("HTTP/1.1 500 ISE\r\nX-Part: aHTTP/1.1 200 OK\r\n" + end, AnswerFault.SECOND_STATUS_LINE),
                Arguments.of(OK + "nonsense\r\n" + end, AnswerFault.HEADER_NAME),
                Arguments.of(OK + ": x\r\n" + end, AnswerFault.HEADER_NAME),
                Arguments.of(OK + "X-A: a\r\n folded\r\n" + end, AnswerFault.HEADER_NAME),
                Arguments.of(OK + "X-A: a\r\n folded: b\r\n" + end, AnswerFault.HEADER_NAME),
                Arguments.of(OK + "Bad Name: x\r\n" + end, AnswerFault.HEADER_NAME),
                Arguments.of(OK + "X-\u00e9: x\r\n" + end, AnswerFault.HEADER_NAME),
                Arguments.of(OK + "X-\rA: x\r\n" + end, AnswerFault.HEADER_NAME),
                Arguments.of(OK + "Transfer-Encoding : chunked\r\n" + end, AnswerFault.HEADER_NAME),
                Arguments.of(OK + "X-A: a\0b\r\n" + end, AnswerFault.HEADER_VALUE),
                Arguments.of(OK + "X-A: a\rb\r\n" + end, AnswerFault.HEADER_VALUE),
                Arguments.of(OK + "X-A: " + "x".repeat(300_000) + "\r\n" + end, AnswerFault.HEAD_SIZE),
                Arguments.of("HTTP/1.1 100 Continue\r\n\r\n".repeat(17) + OK + end, AnswerFault.INTERIM_ANSWERS));
    }

    static Stream<Arguments> malformedFraming() {
        Stream<Arguments> lengths = Stream.of(
                        "-5", "+5", "abc", "", "5, 5", "5 5", "0x5", "99999999999999999999", "5\r\nContent-Length: 3")
                .map(length ->
                        Arguments.of(OK + "Content-Length: " + length + "\r\n\r\nhello", AnswerFault.CONTENT_LENGTH));
        return Stream.concat(lengths, malformedCodings());
    }

    private static Stream<Arguments> malformedCodings() {
        String end = "\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
        return Stream.of(
                Arguments.of(OK + "Transfer-Encoding: gzip, chunked" + end, AnswerFault.TRANSFER_CODING),
                Arguments.of(OK + "Transfer-Encoding: xchunked" + end, AnswerFault.TRANSFER_CODING),
                Arguments.of(
                        OK + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity" + end,
                        AnswerFault.TRANSFER_CODING),
                Arguments.of(OK + "Transfer-Encoding: chunked\r\nContent-Length: 5" + end, AnswerFault.CONTENT_LENGTH),
                Arguments.of("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked" + end, AnswerFault.TRANSFER_CODING),
                Arguments.of(
                        "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked" + end, AnswerFault.TRANSFER_CODING),
                Arguments.of("HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\nhello", AnswerFault.CONTENT_LENGTH),
                Arguments.of(
                        "HTTP/1.1 205 Reset Content\r\nContent-Length: 5\r\n\r\nhello", AnswerFault.CONTENT_LENGTH));
    }

    static Stream<Arguments> malformedChunks() {
        return Stream.of(
                Arguments.of(CHUNKED + "g\r\nhello\r\n0\r\n\r\n", AnswerFault.CHUNK),
                Arguments.of(CHUNKED + "-5\r\nhello\r\n0\r\n\r\n", AnswerFault.CHUNK),
                Arguments.of(CHUNKED + "\r\nhello\r\n0\r\n\r\n", AnswerFault.CHUNK),
                Arguments.of(CHUNKED + "4\r\nhello\r\n0\r\n\r\n", AnswerFault.CHUNK),
                Arguments.of(CHUNKED + "0".repeat(100_000), AnswerFault.CHUNK),
                Arguments.of(CHUNKED + "1;" + "x".repeat(100_000), AnswerFault.CHUNK),
                Arguments.of(CHUNKED + "0\r\nHTTP/1.1 200 OK\r\n\r\n", AnswerFault.SECOND_STATUS_LINE),
                Arguments.of(CHUNKED + "0\r\n" + "X-A: a\r\n".repeat(2_000) + "\r\n", AnswerFault.TRAILER));
    }

    private AnswerInputStream stream(ScriptedSource source) {
        return new AnswerInputStream(source, () -> sendingFailure, observer, () -> "peer");
    }

    private static String read(AnswerInputStream stream, int length) throws IOException {
        return new String(stream.readNBytes(length), StandardCharsets.ISO_8859_1);
    }
}
