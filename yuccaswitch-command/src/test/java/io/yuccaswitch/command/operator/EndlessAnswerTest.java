package io.yuccaswitch.command.operator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import com.codahale.metrics.MetricRegistry;
import io.yuccaswitch.http.AnswerObserver;
import io.yuccaswitch.testkit.http.EndlessServer;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that an answer of a node without end is broken off, and that its connection is closed. */
final class EndlessAnswerTest {

    private static final String BODY = "HTTP/1.1 200 OK\r\n\r\n";

    /** What a client may read ahead of a bound, and the bound of a head. */
    private static final long READ_BYTES = 80L << 10;

    private EndlessServer server;

    @AfterEach
    void close() {
        server.close();
    }

    @Test
    void aHeadWithoutEndIsBrokenOffAtItsMaximumSize() {
        server = new EndlessServer("", _part -> "xxxxxxxx", Duration.ZERO);
        assertNoAnswer(READ_BYTES);
    }

    @Test
    void aBodyWithoutEndIsBrokenOffAtItsMaximumSize() {
        server = new EndlessServer(BODY, _part -> "xxxxxxxx", Duration.ZERO);
        assertNoAnswer((8L << 20) + READ_BYTES);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", BODY})
    void anAnswerThatDripsIsBrokenOffAtItsTimeout(String beginning) {
        server = new EndlessServer(beginning, _part -> "x", Duration.ofMillis(200));
        assertNoAnswer(1 << 20);
    }

    private void assertNoAnswer(long maximumBytes) {
        MetricRegistry metrics = new MetricRegistry();
        AnswerObserver observer = new AnswerObserver.Reporting(metrics, "operator");
        try (OperatorClient client = new OperatorClient(Optional.empty(), observer)) {
            assertThat(client.call("vm-1", server.address(), OperatorCall.STATUS)
                            .kind())
                    .isEqualTo(ReplyKind.NO_ANSWER);
            await().until(() -> server.openConnections() == 0);
        }
        assertThat(metrics.counter("operator.received-bytes").getCount()).isLessThan(maximumBytes);
    }
}
