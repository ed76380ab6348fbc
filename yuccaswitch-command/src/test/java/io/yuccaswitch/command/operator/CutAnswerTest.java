package io.yuccaswitch.command.operator;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.testkit.http.CutServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.FutureTask;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests that an answer of a node that ends early or is malformed is not shown as the node's answer. */
final class CutAnswerTest {

    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String SIZED = OK + "X-Other: 1\r\nContent-Length: 2\r\n\r\n{}";
    private static final String CHUNKED =
            OK + "Transfer-Encoding: chunked\r\n\r\n1;a=b\r\n{\r\n1\r\n}\r\n0\r\nX-Late: 1\r\n\r\n";

    private static final int TLS_HANDSHAKE = 22;

    /** A TLS record with the fatal alert that the handshake has failed. */
    private static final byte[] TLS_HANDSHAKE_FAILURE = {21, 3, 3, 0, 2, 2, 40};

    private final CutServer server;
    private final OperatorClient client = new OperatorClient(Optional.empty());

    CutAnswerTest() throws IOException {
        server = new CutServer();
    }

    @AfterEach
    void close() throws IOException {
        client.close();
        server.close();
    }

    @ParameterizedTest
    @EnumSource(names = {"FINISH", "RESET"})
    void anAnswerIsShownOnlyIfItIsComplete(CutServer.End end) {
        for (String answer : List.of(SIZED, CHUNKED)) {
            for (int missing = 1; missing <= answer.length(); missing++) {
                int requests = server.requests();
                server.cut(answer, missing, end);
                assertThat(status()).as("%d bytes missing: %s", missing, answer).isEqualTo(ReplyKind.NO_ANSWER);
                server.answer(SIZED);
                assertThat(status()).isEqualTo(ReplyKind.DONE);
                server.cut(answer, missing, end);
                assertThat(status())
                        .as("%d bytes missing on a kept connection: %s", missing, answer)
                        .isEqualTo(ReplyKind.NO_ANSWER);
                assertThat(server.requests()).as("received requests").isEqualTo(requests + 3);
            }
        }
    }

    @Test
    void aMalformedAnswerIsNotShown() {
        for (String head : List.of(
                "HTTP/1.1 500 Internal Server Error\r\n" + OK + "Content-Length: 2\r\n\r\n",
                OK + "nonsense\r\nContent-Length: 2\r\n\r\n",
                OK + "Content-Length: 2, 2\r\n\r\n",
                OK + "Content-Length: -2\r\n\r\n",
                OK + "Transfer-Encoding: xchunked\r\n\r\n",
                "ICY 200 OK\r\nContent-Length: 2\r\n\r\n",
                "HTTP/1.1 999 None\r\nContent-Length: 2\r\n\r\n")) {
            server.cut(head + "{}", 0, CutServer.End.FINISH);
            assertThat(status()).as(head).isEqualTo(ReplyKind.NO_ANSWER);
        }
    }

    @Test
    void bytesAfterAnAnswerAreNotTheNextAnswer() throws InterruptedException {
        server.answer(SIZED + "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\n{}");
        assertThat(status()).isEqualTo(ReplyKind.DONE);
        Thread.sleep(20);
        assertThat(status()).isEqualTo(ReplyKind.DONE);
        assertThat(server.requests()).isEqualTo(2);
    }

    @Test
    void anAddressWithTlsIsCalledOverTls() throws Exception {
        try (ServerSocket node = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            FutureTask<Integer> firstByte = new FutureTask<>(() -> refuseHandshake(node));
            new Thread(firstByte).start();
            NodeReply reply = client.call("vm-1", "https://127.0.0.1:" + node.getLocalPort(), OperatorCall.STATUS);
            assertThat(firstByte.get()).isEqualTo(TLS_HANDSHAKE);
            assertThat(reply.kind()).isEqualTo(ReplyKind.NO_ANSWER);
            assertThat(reply.detail()).contains("handshake_failure");
        }
    }

    /** Refuses a TLS handshake, and returns the first byte that was received. */
    private static int refuseHandshake(ServerSocket node) throws IOException {
        try (Socket connection = node.accept()) {
            int first = connection.getInputStream().read();
            connection.getOutputStream().write(TLS_HANDSHAKE_FAILURE);
            connection.getOutputStream().flush();
            connection.shutdownOutput();
            connection.getInputStream().readAllBytes();
            return first;
        }
    }

    private ReplyKind status() {
        return client.call("vm-1", server.address(), OperatorCall.STATUS).kind();
    }
}
