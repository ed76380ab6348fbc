package io.yuccaswitch.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.testkit.http.CutServer;
import java.io.IOException;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests that an answer of the platform that ends within its head or its body is never taken for a complete one. */
final class CutAnswerTest {

    private static final String OK = "HTTP/1.1 200 OK\r\nX-Object-Version: 7\r\n";
    private static final String SIZED = OK + "Content-Length: 5\r\n\r\nhello";
    private static final String CHUNKED =
            OK + "Transfer-Encoding: chunked\r\n\r\n3;a=b\r\nhel\r\n2\r\nlo\r\n0\r\nX-Late: 1\r\n\r\n";

    /** The timeout of calls, longer than that of other tests, as each of the many calls has to be answered in time. */
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private static final CallRates UNLIMITED = new CallRates(1_000_000, 1_000_000);

    private final CutServer server;
    private final PlatformClient client;
    private final Calls calls;

    CutAnswerTest() throws IOException {
        server = new CutServer();
        int port = Integer.parseInt(server.address().substring(server.address().indexOf(':') + 1));
        client = new PlatformClient(
                Calls.settings(port).withTimeouts(TIMEOUT, TIMEOUT).withRates(UNLIMITED), new MetricRegistry());
        calls = new Calls(client);
    }

    @AfterEach
    void close() throws IOException {
        client.close();
        server.close();
    }

    @ParameterizedTest
    @EnumSource(names = {"FINISH", "RESET"})
    void anAnswerIsReadOnlyIfItIsComplete(CutServer.End end) {
        for (String answer : new String[] {SIZED, CHUNKED}) {
            for (int missing = 1; missing <= answer.length(); missing++) {
                int requests = server.requests();
                server.cut(answer, missing, end);
                assertUnavailable(calls.read(), missing + " bytes missing on a new connection: " + answer);
                keepConnection();
                server.cut(answer, missing, end);
                assertUnavailable(calls.read(), missing + " bytes missing on a kept connection: " + answer);
                keepConnection();
                server.cut(answer, missing, end);
                assertMaybeApplied(calls.replace(7, "x"), missing + " bytes missing after a write: " + answer);
                assertThat(server.requests()).as("received requests").isEqualTo(requests + 5);
            }
        }
    }

    private void keepConnection() {
        server.answer(SIZED);
        assertThat(calls.read()).isNotInstanceOf(PlatformEvent.Unavailable.class);
    }

    private static void assertUnavailable(PlatformEvent event, String row) {
        assertThat(event).as(row).isInstanceOf(PlatformEvent.Unavailable.class);
    }

    private static void assertMaybeApplied(PlatformEvent event, String row) {
        assertThat(event).as(row).isInstanceOfSatisfying(PlatformEvent.Unavailable.class, unavailable -> assertThat(
                        unavailable.maybeApplied())
                .as("%s: %s", unavailable.reason(), row)
                .isTrue());
    }
}
