package io.yuccaswitch.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import com.codahale.metrics.MetricRegistry;
import io.yuccaswitch.core.batch.AttemptOutcome;
import io.yuccaswitch.core.batch.BatchEffect;
import io.yuccaswitch.core.batch.BatchEvent;
import io.yuccaswitch.core.batch.BatchItem;
import io.yuccaswitch.core.batch.BatchJobId;
import io.yuccaswitch.core.decision.DecisionCore;
import io.yuccaswitch.core.decision.Effect;
import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.modelversion.OrderEffect;
import io.yuccaswitch.core.modelversion.OrderEvent;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import io.yuccaswitch.core.registry.RegistryFreshness;
import io.yuccaswitch.core.value.Bytes;
import io.yuccaswitch.endpoint.EndpointChecks;
import io.yuccaswitch.endpoint.EndpointClientSettings;
import io.yuccaswitch.endpoint.EndpointHttp;
import io.yuccaswitch.node.decision.DecisionLoop;
import io.yuccaswitch.testkit.http.EndlessServer;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that an answer without end is broken off at a bound of bytes and of time, and that its connection is closed.
 */
final class EndlessAnswerTest {

    private static final EndpointClientSettings SETTINGS = new EndpointClientSettings(
            Duration.ofSeconds(3), Duration.ofSeconds(3), Duration.ofSeconds(5), 4, 1L << 20, 1L << 20);
    private static final Duration PAUSE = Duration.ofMillis(50);
    private static final String STREAM =
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Type: text/event-stream\r\n\r\n";
    private static final String BODY = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n\r\n";

    /** The largest bound of these answers but for plain bodies, and what a client may read ahead of it. */
    private static final long READ_BYTES = (1L << 20) + (64 << 10);

    private final MetricRegistry metrics = new MetricRegistry();
    private final GatewayView view = new GatewayView();
    private final EndpointHttp http = new EndpointHttp(SETTINGS, metrics);
    private final EndpointChecks checks = new EndpointChecks(metrics);
    private final DispatchCheck dispatch = new DispatchCheck(view, metrics);
    private final EndpointAttempts attempts = new EndpointAttempts(http, new TestEndpointDialect(), checks, dispatch);
    private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
    private final DecisionLoop loop = new DecisionLoop(
            new DecisionCore(
                    List.of(tick -> {
                        tick.events(Start.class).forEach(start -> tick.emit(start.effect()));
                        tick.events(BatchEvent.AttemptEnded.class).forEach(events::add);
                        tick.events(OrderEvent.ReportRead.class).forEach(events::add);
                    }),
                    1),
            () -> {});
    private final ItemRunner items = new ItemRunner(http, new TestEndpointDialect(), checks, dispatch, loop);
    private final OrderCaller orders = new OrderCaller(http, new TestEndpointDialect(), loop);
    private EndlessServer server;

    @BeforeEach
    void startLoop() {
        loop.start();
    }

    @AfterEach
    void stop() {
        items.close();
        orders.close();
        loop.close();
        http.close();
        server.close();
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "HTTP/1.1 200 OK\r\nX-Endless: ", "HTTP/1.1 200 OK\r\n"})
    void aHeadWithoutEndIsBrokenOffAtItsMaximumSize(String beginning) {
        start(beginning, part -> beginning.endsWith(" ") || beginning.isEmpty() ? "xxxxxxxx" : "X-" + part + ": x\r\n");
        assertThat(open(Duration.ofSeconds(20)).failure()).get().isInstanceOf(AttemptResult.MayHaveRun.class);
        assertBroken(READ_BYTES);
    }

    @Test
    void dripsThatCannotBeAnAnswerAreBrokenOffAtOnce() {
        server = new EndlessServer("", _part -> "x", PAUSE);
        assertThat(open(Duration.ofSeconds(20)).failure()).get().isInstanceOf(AttemptResult.MayHaveRun.class);
        assertBroken(1L << 20);
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\nX-Endless: "})
    void aHeadThatDripsIsBrokenOffAtItsTimeout(String beginning) {
        server = new EndlessServer(beginning, _part -> "x", PAUSE);
        long startedAt = System.nanoTime();
        assertThat(open(Duration.ofMillis(600)).failure()).get().isInstanceOf(AttemptResult.MayHaveRun.class);
        assertThat(Duration.ofNanos(System.nanoTime() - startedAt)).isBetween(PAUSE, Duration.ofSeconds(10));
        assertBroken(1L << 20);
    }

    @Test
    void informationalAnswersWithoutEndAreNoAnswer() {
        start("", _part -> "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
        EndpointAttempts.OpenedAttempt opened = open(Duration.ofSeconds(2));
        assertThat(opened.failure()).get().isInstanceOf(AttemptResult.MayHaveRun.class);
        assertBroken(READ_BYTES);
    }

    @Test
    void anAnswerWithoutEndIsBrokenOffAtItsMaximumSize() {
        start(BODY, _part -> "xxxxxxxx");
        assertThat(attempts.readComplete(open(Duration.ofSeconds(20)))).isInstanceOf(AttemptResult.MayHaveRun.class);
        assertBroken((16L << 20) + READ_BYTES);
    }

    @Test
    void anAnswerThatDripsIsBrokenOffAtItsTimeout() {
        server = new EndlessServer(BODY, _part -> "x", PAUSE);
        assertThat(attempts.readComplete(open(Duration.ofMillis(800)))).isInstanceOf(AttemptResult.MayHaveRun.class);
        assertBroken(1L << 20);
    }

    @Test
    void theBodyOfARefusalWithoutEndIsNotReadOn() {
        start("HTTP/1.1 503 Unavailable\r\nRequest-Id: {id}\r\n\r\n", _part -> "xxxxxxxx");
        long startedAt = System.nanoTime();
        assertThat(open(Duration.ofSeconds(20)).failure()).get().isInstanceOf(AttemptResult.NotRun.class);
        assertThat(Duration.ofNanos(System.nanoTime() - startedAt)).isLessThan(Duration.ofSeconds(10));
        await().until(() -> server.openConnections() == 0);
    }

    @ParameterizedTest
    @ValueSource(strings = {"data: x\n", ": x\n", "x"})
    void anEventWithoutEndIsBrokenOffAtItsMaximumSize(String part) throws InterruptedException {
        start(STREAM, _part -> part);
        assertThat(outcome(Duration.ofSeconds(4))).isInstanceOf(AttemptOutcome.Interrupted.class);
        assertBroken(READ_BYTES);
    }

    /** Guards against a library that reads on after an answer with a length is broken off. */
    @Test
    void anEventWithoutEndInAnAnswerWithALengthIsBrokenOffAtItsMaximumSize() throws InterruptedException {
        start(STREAM.replace("\r\n\r\n", "\r\nContent-Length: 99999999999\r\n\r\n"), _part -> "x");
        assertThat(outcome(Duration.ofSeconds(4))).isInstanceOf(AttemptOutcome.Interrupted.class);
        assertBroken(READ_BYTES);
    }

    @Test
    void anEventThatDripsIsBrokenOffAtItsTimeout() throws InterruptedException {
        server = new EndlessServer(STREAM, _part -> "x", PAUSE);
        assertThat(outcome(Duration.ofSeconds(20))).isInstanceOf(AttemptOutcome.Interrupted.class);
        assertBroken(1L << 20);
    }

    @Test
    void theBodyOfAReportIsBrokenOffAtItsMaximumSize() throws InterruptedException {
        start(BODY, _part -> "xxxxxxxx");
        loop.accept(new Start(new OrderEffect.ReadReport(endpoint())));
        assertThat(events.poll(20, TimeUnit.SECONDS))
                .isInstanceOfSatisfying(OrderEvent.ReportRead.class, read -> assertThat(read.report())
                        .isEmpty());
        assertBroken(READ_BYTES);
    }

    private void start(String beginning, LongFunction<String> parts) {
        server = new EndlessServer(beginning, parts, Duration.ZERO);
    }

    private void assertBroken(long maximumBytes) {
        await().until(() -> server.openConnections() == 0);
        assertThat(metrics.counter("endpoint.received-bytes").getCount()).isLessThan(maximumBytes);
        assertThat(server.requests()).isOne();
    }

    private EndpointAttempts.OpenedAttempt open(Duration timeout) {
        register();
        OutgoingRequest request = new OutgoingRequest(
                "request-1",
                "POST",
                "/x",
                List.of(Map.entry("Request-Id", "request-1")),
                Optional.empty(),
                Bytes.EMPTY);
        EndpointAttempts.Timeouts timeouts = new EndpointAttempts.Timeouts(timeout, timeout);
        return attempts.open(
                request, endpoint(), timeouts, EndpointHttp.ConnectionUse.KEPT, Optional.empty(), _call -> {});
    }

    private AttemptOutcome outcome(Duration timeLeft) throws InterruptedException {
        register();
        BatchItem item = new BatchItem("item", "/x", Map.of(), Bytes.EMPTY, "group", 1, Optional.empty());
        loop.accept(new Start(new BatchEffect.Run(
                new BatchJobId("job"), item, 1, "site.example", endpoint(), 0, timeLeft, false, OptionalInt.empty())));
        Event event = events.poll(20, TimeUnit.SECONDS);
        assertThat(event).isInstanceOf(BatchEvent.AttemptEnded.class);
        return ((BatchEvent.AttemptEnded) event).outcome();
    }

    private void register() {
        view.replace(List.of(endpoint()));
        view.updateFreshness(new RegistryFreshness(Optional.of(DecisionLoop.now()), true));
    }

    private RegisteredEndpoint endpoint() {
        return new RegisteredEndpoint(
                new EndpointName(new PoolName("ledger"), "one", 1),
                server.address(),
                new AvailabilityZone("zone-a"),
                4,
                false,
                Map.of());
    }

    /** Makes the core emit an effect. */
    private record Start(Effect effect) implements Event {}
}
