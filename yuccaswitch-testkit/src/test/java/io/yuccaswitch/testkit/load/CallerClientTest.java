package io.yuccaswitch.testkit.load;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.yuccaswitch.testkit.check.Observation.AttemptEnd;
import io.yuccaswitch.testkit.check.Observation.CallerAttempt;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class CallerClientTest {

    private static final long TIMEOUT_MILLIS = 1_000;

    private final List<HttpServer> servers = new ArrayList<>();

    private final ExecutorService executor = Executors.newCachedThreadPool();

    private final List<CallerAttempt> attempts = new CopyOnWriteArrayList<>();

    @AfterEach
    void stop() {
        servers.forEach(server -> server.stop(0));
        executor.shutdownNow();
    }

    @Test
    void aTimedOutRequestIsRetriedThroughAnotherNodeWithTheSameIdentifier() throws IOException {
        Optional<CallerAttempt> last = caller(CallerClientTest::answerNothing, CallerClientTest::answerOwn)
                .call(LoadMix.Kind.post("ledger-app", "netting", TIMEOUT_MILLIS, 3));

        assertThat(last.orElseThrow().end()).isEqualTo(AttemptEnd.ANSWERED);
        assertThat(attempts).extracting(CallerAttempt::end).containsExactly(AttemptEnd.TIMED_OUT, AttemptEnd.ANSWERED);
        assertThat(attempts).extracting(CallerAttempt::requestId).containsOnly("vm-0@1/test-1");
        assertThat(attempts).extracting(CallerAttempt::node).containsExactly("vm-0", "vm-1");
    }

    @Test
    void aNotRunRefusalIsFollowedByANewIdentifier() throws IOException {
        caller(exchange -> answer(exchange, 503, "{\"error\":{\"ran\":\"no\"}}"), CallerClientTest::answerOwn)
                .call(LoadMix.Kind.post("ledger-app", "netting", TIMEOUT_MILLIS, 3));

        assertThat(attempts).extracting(CallerAttempt::end).containsExactly(AttemptEnd.NOT_RUN, AttemptEnd.ANSWERED);
        assertThat(attempts).extracting(CallerAttempt::requestId).containsExactly("vm-0@1/test-1", "vm-1@1/test-2");
    }

    @Test
    void aTruncatedAnswerIsNotCountedAsAnswered() throws IOException {
        caller(
                        exchange -> {
                            exchange.sendResponseHeaders(200, 100);
                            exchange.getResponseBody().write("{\"half".getBytes(StandardCharsets.UTF_8));
                            exchange.getResponseBody().flush();
                            exchange.close();
                        },
                        CallerClientTest::answerOwn)
                .call(LoadMix.Kind.post("ledger-app", "netting", TIMEOUT_MILLIS, 1));

        assertThat(attempts).extracting(CallerAttempt::end).containsExactly(AttemptEnd.CUT);
    }

    @Test
    void anAnswerThatNamesAnotherRequestIsNotRecordedAsOwn() throws IOException {
        caller(
                        exchange -> {
                            exchange.getResponseHeaders().set("X-Request-Id", "vm-9@1/other");
                            answer(exchange, 200, "{}");
                        },
                        CallerClientTest::answerOwn)
                .call(LoadMix.Kind.post("ledger-app", "netting", TIMEOUT_MILLIS, 1));

        assertThat(attempts).singleElement().extracting(CallerAttempt::own).isEqualTo(false);
    }

    @Test
    void latenciesAreMeasuredFromTheTimeAtWhichARequestWasDue() {
        LoadMix mix = new LoadMix(List.of(LoadMix.Kind.post("ledger-app", "", TIMEOUT_MILLIS, 1)));
        LoadReport report = new OpenLoop(mix, 100, Duration.ofMillis(500), 1, 1)
                .run(
                        _kind -> {
                            sleep(20);
                            return Optional.of(
                                    new CallerAttempt("a", "vm-0", false, 0, 0, AttemptEnd.ANSWERED, true, true, ""));
                        },
                        () -> false);

        assertThat(report.offered()).isPositive();
        assertThat(report.kinds().get("post").answered()).isEqualTo(report.offered() - report.notSent());
        assertThat(report.kinds().get("post").p50Millis()).isGreaterThanOrEqualTo(20);
    }

    private CallerClient caller(Handler first, Handler second) throws IOException {
        int firstPort = serve(first);
        int secondPort = serve(second);
        String listing = String.format(
                "{\"validForMillis\":60000,\"addresses\":[%s,%s]}", entry(0, firstPort), entry(1, secondPort));
        int directoryPort = serve(exchange -> answer(exchange, 200, listing));
        return CallerClients.create(
                List.of("127.0.0.1:" + directoryPort), "salt-lake", Optional.empty(), "test", attempts::add);
    }

    private static String entry(int index, int port) {
        return String.format(
                "{\"address\":\"127.0.0.1:%d\",\"node\":\"vm-%d\",\"availabilityZone\":\"salt-lake\","
                        + "\"requestIdPrefix\":\"vm-%d@1/\"}",
                port, index, index);
    }

    private int serve(Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.setExecutor(executor);
        server.createContext("/", handler::handle);
        server.start();
        servers.add(server);
        return server.getAddress().getPort();
    }

    private static void answerOwn(HttpExchange exchange) throws IOException {
        String id = exchange.getRequestHeaders().getFirst("X-Request-Id");
        exchange.getResponseHeaders().set("X-Request-Id", id);
        answer(exchange, 200, "{\"requestId\":\"" + id + "\"}");
    }

    private static void answer(HttpExchange exchange, int status, String text) throws IOException {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    private static void answerNothing(HttpExchange _exchange) {
        sleep(2 * TIMEOUT_MILLIS);
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException _exception) {
            Thread.currentThread().interrupt();
        }
    }

    private interface Handler {
        void handle(HttpExchange exchange) throws IOException;
    }
}
