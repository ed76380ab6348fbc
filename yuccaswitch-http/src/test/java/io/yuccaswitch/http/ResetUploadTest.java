package io.yuccaswitch.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Proxy;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.Stream;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** A server answers a long upload at once, and its connection ends while the client still sends the body. */
final class ResetUploadTest {

    private static final int UPLOAD_BYTES = 8 << 20;

    /** The first bytes of an answer that only the end of the connection delimits. */
    private static final String PART = "hello";

    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final OkHttpClient client = AnswerValidation.addTo(new OkHttpClient.Builder(), AnswerObserver.NoOp.INSTANCE)
            .proxy(Proxy.NO_PROXY)
            .retryOnConnectionFailure(false)
            .callTimeout(Duration.ofSeconds(20))
            .build();
    private ServerSocket server;

    /** How the server ends the connection. */
    private enum End {
        /** It resets the connection. */
        RESET,
        /** It closes a connection with unread bytes, which the operating system resets. */
        CLOSED_WITH_UNREAD_BYTES
    }

    @BeforeEach
    void listen() throws IOException {
        server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void close() throws IOException {
        server.close();
        threads.shutdownNow();
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }

    /** Guards against answers that are taken for whole although their connection was reset. */
    @ParameterizedTest
    @MethodSource("brokenUploads")
    void anAnswerWithoutALengthIsNotWholeIfTheConnectionFailedDuringTheUpload(String head, End end, int delayMillis) {
        threads.execute(() -> serve(head + "\r\n" + PART, end, delayMillis));
        assertThatThrownBy(this::post).isInstanceOf(IOException.class);
    }

    static Stream<Arguments> brokenUploads() {
        return Stream.of(
                        "HTTP/1.1 200 OK\r\n",
                        "HTTP/1.0 200 OK\r\n",
                        "HTTP/1.1 200 OK\r\nConnection: close\r\n",
                        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n",
                        "HTTP/1.1 404 Not Found\r\n",
                        "HTTP/1.1 500 Internal Server Error\r\n")
                .flatMap(head -> Stream.of(End.values())
                        .flatMap(end -> Stream.of(0, 20, 150).map(delay -> Arguments.of(head, end, delay))));
    }

    /** Guards against the loss of answers that state that the upload was not needed. */
    @Test
    void anAnswerWithALengthIsWholeAlthoughTheConnectionFailsAfterIt() throws IOException {
        threads.execute(() -> serve("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n" + PART, End.RESET, 150));
        assertThat(post()).isEqualTo(PART);
    }

    @Test
    void anAnswerWithoutALengthIsWholeIfTheConnectionEndsInOrderAfterTheUpload() throws IOException {
        threads.execute(() -> serveInOrder("HTTP/1.1 200 OK\r\n\r\n" + PART));
        assertThat(post()).isEqualTo(PART);
    }

    private String post() throws IOException {
        Request request = new Request.Builder()
                .url("http://127.0.0.1:" + server.getLocalPort() + "/x")
                .post(RequestBody.create(new byte[UPLOAD_BYTES], null))
                .build();
        try (Response response = client.newCall(request).execute()) {
            return response.body().string();
        }
    }

    /** Reads the head of a request, answers it, and ends the connection while the body is being sent. */
    private void serve(String answer, End end, int delayMillis) {
        try (Socket socket = server.accept()) {
            readHead(socket.getInputStream());
            socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
            Thread.sleep(delayMillis);
            socket.setSoLinger(end == End.RESET, 0);
        } catch (IOException | InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private void serveInOrder(String answer) {
        try (Socket socket = server.accept()) {
            readHead(socket.getInputStream());
            socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
            socket.getInputStream().readNBytes(UPLOAD_BYTES);
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private static void readHead(InputStream input) throws IOException {
        for (int matched = 0; matched < 4; ) {
            matched = input.read() == "\r\n\r\n".charAt(matched) ? matched + 1 : 0;
        }
    }
}
