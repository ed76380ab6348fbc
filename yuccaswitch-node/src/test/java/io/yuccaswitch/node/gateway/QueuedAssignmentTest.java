package io.yuccaswitch.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.javalin.Javalin;
import io.yuccaswitch.core.account.AccountName;
import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.proxy.EndpointSelection;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import io.yuccaswitch.core.registry.RegistryFreshness;
import io.yuccaswitch.core.route.RequestKind;
import io.yuccaswitch.core.route.Route;
import io.yuccaswitch.core.usage.UsageWindows;
import io.yuccaswitch.core.value.Bytes;
import io.yuccaswitch.endpoint.EndpointChecks;
import io.yuccaswitch.endpoint.EndpointClientSettings;
import io.yuccaswitch.endpoint.EndpointHttp;
import io.yuccaswitch.node.decision.DecisionLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the admission in a handler between callers and one endpoint with one slot. */
final class QueuedAssignmentTest {

    private static final PoolName POOL = new PoolName("ledger");
    private static final EndpointClientSettings SETTINGS = new EndpointClientSettings(
            Duration.ofSeconds(3), Duration.ofSeconds(3), Duration.ofSeconds(5), 8, 1L << 20, 1L << 20);

    private final MetricRegistry metrics = new MetricRegistry();
    private final GatewayView view = new GatewayView();
    private final EndpointHttp http = new EndpointHttp(SETTINGS, new MetricRegistry());
    private final EndpointSelection selection = new EndpointSelection(new AvailabilityZone("zone-a"), "node");
    private final QueuedAssignment assignment = new QueuedAssignment(view, selection, metrics);
    private final DisconnectWatch watch = new DisconnectWatch();
    private final HttpClient client = HttpClient.newHttpClient();
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicInteger most = new AtomicInteger();
    private final CountDownLatch release = new CountDownLatch(1);
    private volatile Duration latencyTarget = Duration.ofSeconds(40);
    private Javalin endpoint;
    private Javalin gateway;

    @BeforeEach
    void start() {
        endpoint = Javalin.create(config -> config.routes.post("/x", context -> {
                    most.accumulateAndGet(running.incrementAndGet(), Math::max);
                    release.await();
                    running.decrementAndGet();
                    context.header("Request-Id", context.header("Request-Id")).result("done");
                }))
                .start("127.0.0.1", 0);
        RegisteredEndpoint registered = new RegisteredEndpoint(
                new EndpointName(POOL, "one", 1),
                "127.0.0.1:" + endpoint.port(),
                new AvailabilityZone("zone-a"),
                1,
                false,
                Map.of());
        view.replace(List.of(registered));
        view.updateFreshness(new RegistryFreshness(Optional.of(DecisionLoop.now()), true));
        EndpointAttempts attempts = new EndpointAttempts(
                http, new TestEndpointDialect(), new EndpointChecks(metrics), new DispatchCheck(view, metrics));
        PlainRequestHandler handler = new PlainRequestHandler(
                view,
                attempts,
                new TestEndpointDialect(),
                assignment,
                new QuarantineGate(_event -> {}),
                new UsageMeter(new UsageWindows(Duration.ofMinutes(1)), System::currentTimeMillis, _event -> {}),
                metrics);
        gateway = Javalin.create(config -> config.routes.post("/x", context -> {
                    ClientConnection connection = ClientConnection.of(context.req());
                    try (DisconnectWatch.WatchedRequest watched = watch.watch(connection)) {
                        handler.serve(
                                request(context.header("Request-Id")),
                                new CallerResponse(context, connection, () -> false),
                                watched);
                    }
                }))
                .start("127.0.0.1", 0);
    }

    @AfterEach
    void stop() {
        release.countDown();
        gateway.stop();
        endpoint.stop();
        http.close();
        watch.close();
    }

    /** Guards against requests beyond the slots that are sent anyway, or are lost while they wait. */
    @Test
    void waitingRequestsAreSentOneAfterTheOtherWhenTheSlotBecomesFree() {
        List<CompletableFuture<HttpResponse<String>>> calls =
                List.of(call("request-1"), call("request-2"), call("request-3"));
        await(() -> assignment.waiting() == 2);
        release.countDown();
        assertThat(calls).allSatisfy(call -> assertThat(call)
                .succeedsWithin(Duration.ofSeconds(20))
                .satisfies(answer -> assertThat(answer.body()).isEqualTo("done")));
        assertThat(most).hasValue(1);
        assertThat(metrics.counter("gateway.admission.queued").getCount()).isEqualTo(2);
        assertThat(metrics.counter("gateway.admission.immediate").getCount()).isOne();
    }

    /** Guards against a request that waits until its deadline, or whose refusal does not state that it has not run. */
    @Test
    void requestThatGetsNoSlotInTimeIsRefusedTruthfullyWithATimeToReturn() {
        CompletableFuture<HttpResponse<String>> first = call("request-1");
        await(() -> running.get() == 1);
        latencyTarget = Duration.ofMillis(200);
        HttpResponse<String> refused = call("request-2").join();
        assertThat(refused.statusCode()).isEqualTo(503);
        assertThat(refused.body()).isEqualTo("the request has not run: no slot became free");
        double delay =
                Double.parseDouble(refused.headers().firstValue("Retry-After").orElseThrow());
        assertThat(delay).isBetween(0.01, 10.0);
        assertThat(running).hasValue(1);
        assertThat(metrics.counter("gateway.admission.refused.no-slot").getCount())
                .isOne();
        release.countDown();
        assertThat(first).succeedsWithin(Duration.ofSeconds(20));
    }

    /** Guards against a request that is sent although its caller has disconnected while it waited. */
    @Test
    void requestOfADisconnectedCallerLeavesTheQueue() throws IOException {
        CompletableFuture<HttpResponse<String>> first = call("request-1");
        await(() -> running.get() == 1);
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), gateway.port())) {
            socket.getOutputStream()
                    .write("POST /x HTTP/1.1\r\nHost: a\r\nRequest-Id: request-2\r\nContent-Length: 0\r\n\r\n"
                            .getBytes(StandardCharsets.UTF_8));
            await(() -> assignment.waiting() == 1);
        }
        await(() -> assignment.waiting() == 0);
        release.countDown();
        assertThat(first).succeedsWithin(Duration.ofSeconds(20));
        assertThat(metrics.counter("gateway.admission.queued").getCount()).isZero();
    }

    /** Guards against requests that keep waiting for endpoints that were removed. */
    @Test
    void waitingRequestIsRefusedWhenTheLastEndpointIsRemoved() {
        CompletableFuture<HttpResponse<String>> first = call("request-1");
        await(() -> running.get() == 1);
        CompletableFuture<HttpResponse<String>> second = call("request-2");
        await(() -> assignment.waiting() == 1);
        view.replace(List.of());
        assignment.endpointsChanged();
        assertThat(second).succeedsWithin(Duration.ofSeconds(20)).satisfies(answer -> assertThat(answer.body())
                .isEqualTo("the request has not run: no endpoint"));
        release.countDown();
        assertThat(first).succeedsWithin(Duration.ofSeconds(20));
    }

    /** Guards against requests that wait until a planned stop cuts them, although another node could serve them. */
    @Test
    void waitingRequestThatAPlannedStopMayCutIsRefusedAsNotRun() {
        CompletableFuture<HttpResponse<String>> first = call("request-1");
        await(() -> running.get() == 1);
        CompletableFuture<HttpResponse<String>> second = call("request-2");
        await(() -> assignment.waiting() == 1);
        view.beginStop(new PlannedStop(
                DecisionLoop.now().plus(PlannedStop.FULL_SERVICE_DURATION.negated()), Duration.ofSeconds(7)));
        assignment.stopLimited();
        assertThat(second).succeedsWithin(Duration.ofSeconds(20)).satisfies(answer -> {
            assertThat(answer.statusCode()).isEqualTo(503);
            assertThat(answer.body()).isEqualTo("the request has not run: this node is stopping");
            assertThat(answer.headers().firstValue("Retry-After")).contains("0.00");
        });
        assertThat(running).hasValue(1);
        release.countDown();
        assertThat(first).succeedsWithin(Duration.ofSeconds(20));
    }

    private CompletableFuture<HttpResponse<String>> call(String id) {
        return client.sendAsync(
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + gateway.port() + "/x"))
                        .header("Request-Id", id)
                        .POST(HttpRequest.BodyPublishers.noBody())
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    private PlainRequest request(String id) {
        Route route = new Route(
                "once",
                "a",
                "/x",
                RequestKind.IDEMPOTENT,
                List.of(new Route.PoolShare(POOL, 1)),
                Duration.ofSeconds(30),
                latencyTarget,
                1,
                2,
                false,
                false,
                Optional.empty(),
                false);
        OutgoingRequest outgoing = new OutgoingRequest(
                id,
                "POST",
                "/x",
                List.of(Map.entry("Request-Id", id)),
                Optional.of(new AccountName("account")),
                Bytes.EMPTY,
                OptionalInt.of(2));
        return new PlainRequest(outgoing, route, DecisionLoop.now().plus(Duration.ofSeconds(30)));
    }

    private static void await(BooleanSupplier condition) {
        long end = System.nanoTime() + Duration.ofSeconds(20).toNanos();
        while (!condition.getAsBoolean() && System.nanoTime() < end) {
            Thread.onSpinWait();
        }
        assertThat(condition.getAsBoolean()).isTrue();
    }
}
