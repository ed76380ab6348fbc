package io.yuccaswitch.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import com.codahale.metrics.MetricRegistry;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.testkit.http.EndlessServer;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that an answer of the platform without end is broken off, and that its connection is closed. */
final class EndlessAnswerTest {

    private static final Duration PAUSE = Duration.ofMillis(50);
    private static final String BODY = "HTTP/1.1 200 OK\r\nX-Object-Version: 1\r\n\r\n";

    /** What a client may read ahead of a bound, and the bound of a head. */
    private static final long READ_BYTES = 80L << 10;

    private EndlessServer server;

    @AfterEach
    void close() {
        server.close();
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "HTTP/1.1 200 OK\r\nX-Endless: "})
    void aHeadWithoutEndIsBrokenOffAtItsMaximumSize(String beginning) {
        server = new EndlessServer(beginning, _part -> "xxxxxxxx", Duration.ZERO);
        assertUnavailable(READ_BYTES);
    }

    @Test
    void informationalAnswersWithoutEndAreNoAnswer() {
        server = new EndlessServer("", _part -> "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", Duration.ZERO);
        assertUnavailable(READ_BYTES);
    }

    @Test
    void aBodyWithoutEndIsBrokenOffAtItsMaximumSize() {
        server = new EndlessServer(BODY, _part -> "xxxxxxxx", Duration.ZERO);
        assertUnavailable((8L << 20) + READ_BYTES);
    }

    /** Guards against a node that never follows changes again, as they are too large together. */
    @Test
    void changesBeyondTheMaximumSizeRequireANewList() {
        server = new EndlessServer(BODY, _part -> "xxxxxxxx", Duration.ZERO);
        int port = Integer.parseInt(server.address().substring(server.address().indexOf(':') + 1));
        try (PlatformClient client = new PlatformClient(Calls.settings(port), new MetricRegistry())) {
            assertThat(new Calls(client).watch(7)).isEqualTo(new PlatformEvent.ObjectsListed(1, List.of(), 7, true));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"", BODY})
    void anAnswerThatDripsIsBrokenOffAtItsTimeout(String beginning) {
        server = new EndlessServer(beginning, _part -> "x", PAUSE);
        assertUnavailable(1 << 20);
    }

    private void assertUnavailable(long maximumBytes) {
        MetricRegistry metrics = new MetricRegistry();
        int port = Integer.parseInt(server.address().substring(server.address().indexOf(':') + 1));
        try (PlatformClient client = new PlatformClient(Calls.settings(port), metrics)) {
            assertThat(new Calls(client).create("a"))
                    .isInstanceOfSatisfying(
                            PlatformEvent.Unavailable.class, unavailable -> assertThat(unavailable.maybeApplied())
                                    .isTrue());
            await().until(() -> server.openConnections() == 0);
        }
        assertThat(metrics.counter("platform.received-bytes").getCount()).isLessThan(maximumBytes);
    }
}
