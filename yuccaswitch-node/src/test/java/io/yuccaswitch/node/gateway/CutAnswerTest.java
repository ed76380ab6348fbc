package io.yuccaswitch.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.yuccaswitch.core.batch.AttemptOutcome;
import io.yuccaswitch.core.batch.BatchEffect;
import io.yuccaswitch.core.batch.BatchEvent;
import io.yuccaswitch.core.batch.BatchItem;
import io.yuccaswitch.core.batch.BatchJobId;
import io.yuccaswitch.core.batch.ScoringOutcome;
import io.yuccaswitch.core.batch.ScoringRequest;
import io.yuccaswitch.core.decision.DecisionCore;
import io.yuccaswitch.core.decision.Effect;
import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.duty.DutyOutcome;
import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.NodeName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.modelversion.OrderEffect;
import io.yuccaswitch.core.modelversion.OrderEvent;
import io.yuccaswitch.core.modelversion.OrderOutcome;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import io.yuccaswitch.core.registry.RegistryFreshness;
import io.yuccaswitch.core.scaling.ScalingEffect;
import io.yuccaswitch.core.usage.UsageEffect;
import io.yuccaswitch.core.usage.UsageEvent;
import io.yuccaswitch.core.value.Bytes;
import io.yuccaswitch.endpoint.EndpointChecks;
import io.yuccaswitch.endpoint.EndpointClientSettings;
import io.yuccaswitch.endpoint.EndpointHttp;
import io.yuccaswitch.node.decision.DecisionLoop;
import io.yuccaswitch.testkit.http.CutServer;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import okhttp3.Request;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that an answer that ends within its head or its body, or whose head is malformed, is never taken for a complete
 * one, nor for the statement that the request has not run. Each byte is the last one once, on new and on kept
 * connections.
 */
final class CutAnswerTest {

    private static final EndpointClientSettings SETTINGS = new EndpointClientSettings(
            Duration.ofSeconds(3), Duration.ofSeconds(3), Duration.ofSeconds(5), 4, 1L << 20, 1L << 20);
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final String REQUEST_ID = "request-1";
    private static final String LABELS = "Request-Id: " + REQUEST_ID + "\r\nTest-Version: 3\r\n";
    private static final String OK = "HTTP/1.1 200 OK\r\n" + LABELS;
    private static final String SIZED = OK + "Content-Length: 5\r\n\r\nhello";
    private static final String CHUNKED =
            OK + "Transfer-Encoding: chunked\r\n\r\n3;a=b\r\nhel\r\n2\r\nlo\r\n0\r\nX-Late: 1\r\n\r\n";
    private static final String UNFRAMED = OK + "\r\nhello";
    private static final String FAILED =
            "HTTP/1.1 500 Internal Server Error\r\n" + LABELS + "Content-Length: 5\r\n\r\nhello";
    private static final String REFUSED = "HTTP/1.1 503 Unavailable\r\n" + LABELS + "Content-Length: 5\r\n\r\nhello";
    private static final String ACCEPTED = "HTTP/1.1 202 Accepted\r\n" + LABELS + "Content-Length: 2\r\n\r\n{}";
    private static final String ACCEPTED_WITHOUT_BODY =
            "HTTP/1.1 202 Accepted\r\n" + LABELS + "Content-Length: 0\r\n\r\n";
    private static final String EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    private static final String SIZED_EVENTS = OK + "Content-Length: " + EVENTS.length() + "\r\n\r\n" + EVENTS;
    private static final String CHUNKED_EVENTS =
            OK + "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\nf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";

    private final MetricRegistry metrics = new MetricRegistry();
    private final GatewayView view = new GatewayView();
    private final EndpointHttp http = new EndpointHttp(SETTINGS, new MetricRegistry());
    private final EndpointDialect dialect = new TestEndpointDialect();
    private final EndpointChecks checks = new EndpointChecks(metrics);
    private final DispatchCheck dispatch = new DispatchCheck(view, metrics);
    private final EndpointAttempts attempts = new EndpointAttempts(http, dialect, checks, dispatch);
    private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
    private final DecisionLoop loop = new DecisionLoop(
            new DecisionCore(
                    List.of(tick -> {
                        tick.events(Start.class).forEach(start -> tick.emit(start.effect()));
                        tick.events(BatchEvent.AttemptEnded.class).forEach(events::add);
                        tick.events(BatchEvent.ScoringEnded.class).forEach(events::add);
                        tick.events(OrderEvent.ReportRead.class).forEach(events::add);
                        tick.events(OrderEvent.Ordered.class).forEach(events::add);
                        tick.events(UsageEvent.Reported.class).forEach(events::add);
                    }),
                    1),
            () -> {});
    private final ItemRunner items = new ItemRunner(http, dialect, checks, dispatch, loop);
    private final ScoringRunner scoring = new ScoringRunner(attempts, dialect, loop, metrics);
    private final OrderCaller orders = new OrderCaller(http, dialect, loop);
    private final CutServer server;
    private final CloudCaller cloud;
    private int requests;

    CutAnswerTest() throws IOException {
        server = new CutServer();
        cloud = new CloudCaller(http, new TestCloudDialect(), server.address(), loop);
    }

    @BeforeEach
    void startLoop() {
        loop.start();
        view.replace(List.of(endpoint()));
    }

    @AfterEach
    void stop() throws IOException {
        items.close();
        scoring.close();
        orders.close();
        cloud.close();
        loop.close();
        http.close();
        server.close();
    }

    @ParameterizedTest
    @CsvSource({"GET,FINISH", "GET,RESET", "POST,FINISH", "POST,RESET"})
    void aPlainAnswerIsCompleteOnlyWithItsLastByte(String method, CutServer.End end) {
        for (String answer : List.of(SIZED, CHUNKED, FAILED)) {
            forEachCut(answer, end, row -> assertThat(attempt(method))
                    .as(row)
                    .isInstanceOf(AttemptResult.MayHaveRun.class));
            // A connection that the server closed after it would carry the next request if its end arrived late.
            server.answer(answer);
            assertThat(attempt(method))
                    .as(answer)
                    .isInstanceOfSatisfying(
                            AttemptResult.Complete.class,
                            complete -> assertThat(complete.body().toUtf8()).isEqualTo("hello"));
        }
    }

    @ParameterizedTest
    @EnumSource(names = {"FINISH", "RESET"})
    void anAnswerWithoutALengthIsCompleteOnlyIfItsConnectionIsClosed(CutServer.End end) {
        int bodyBytes = "hello".length();
        for (int missing = 0; missing <= UNFRAMED.length(); missing++) {
            server.cut(UNFRAMED, missing, end);
            AttemptResult result = attempt("GET");
            if (end == CutServer.End.FINISH && missing <= bodyBytes) {
                String body = "hello".substring(0, bodyBytes - missing);
                assertThat(result).isInstanceOfSatisfying(AttemptResult.Complete.class, complete -> assertThat(
                                complete.body().toUtf8())
                        .isEqualTo(body));
            } else {
                assertThat(result).as("%d bytes missing", missing).isInstanceOf(AttemptResult.MayHaveRun.class);
            }
        }
    }

    @ParameterizedTest
    @EnumSource(names = {"FINISH", "RESET"})
    void aRefusalCountsOnlyWithItsCompleteHead(CutServer.End end) {
        int bodyBytes = "hello".length();
        forEachCut(REFUSED, end, row -> assertThat(attempt("POST")).as(row).satisfies(result -> {
            if (Integer.parseInt(row.substring(0, row.indexOf(' '))) > bodyBytes) {
                assertThat(result).isInstanceOf(AttemptResult.MayHaveRun.class);
            }
        }));
    }

    @ParameterizedTest
    @EnumSource(names = {"FINISH", "RESET"})
    void anItemIsCompleteOnlyWithTheLastByteOfItsStream(CutServer.End end) {
        for (String answer : List.of(SIZED_EVENTS, CHUNKED_EVENTS)) {
            forEachCut(answer, end, row -> {
                BatchEvent.AttemptEnded ended = (BatchEvent.AttemptEnded) run(item());
                assertThat(ended.outcome())
                        .as(row)
                        .isInstanceOfSatisfying(
                                AttemptOutcome.Interrupted.class, interrupted -> assertThat(interrupted.unreachable())
                                        .as(row)
                                        .isFalse());
                assertThat(ended.text().events().stream().map(Bytes::toUtf8))
                        .as(row)
                        .isIn(List.of(), List.of("a"), List.of("a", "b"));
            });
            // A connection that the server closed after it would carry the next request if its end arrived late.
            server.answer(answer);
            assertThat(((BatchEvent.AttemptEnded) run(item())).outcome()).isInstanceOf(AttemptOutcome.Completed.class);
        }
    }

    @ParameterizedTest
    @EnumSource(names = {"FINISH", "RESET"})
    void aScoreIsTakenOnlyFromACompleteAnswer(CutServer.End end) {
        forEachCut(SIZED, end, row -> assertThat(((BatchEvent.ScoringEnded) run(score())).outcome())
                .as(row)
                .isInstanceOf(ScoringOutcome.Interrupted.class));
        server.cut(SIZED, 0, CutServer.End.FINISH);
        assertThat(((BatchEvent.ScoringEnded) run(score())).outcome()).isInstanceOf(ScoringOutcome.Scored.class);
    }

    @ParameterizedTest
    @EnumSource(names = {"FINISH", "RESET"})
    void aReportIsReadOnlyIfItIsComplete(CutServer.End end) {
        OrderEffect query = new OrderEffect.ReadReport(endpoint());
        forEachCut(SIZED, end, row -> assertThat(((OrderEvent.ReportRead) run(query)).report())
                .as(row)
                .isEmpty());
        server.cut(SIZED, 0, CutServer.End.FINISH);
        assertThat(((OrderEvent.ReportRead) run(query)).report()).isPresent();
    }

    @ParameterizedTest
    @EnumSource(names = {"FINISH", "RESET"})
    void anOrderIsAcceptedOnlyByACompleteAnswer(CutServer.End end) {
        OrderEffect order = new OrderEffect.LoadVersion(endpoint(), "m", 2, false, new NodeName("node-1"), 1, 0);
        forEachCut(ACCEPTED, end, row -> assertThat(((OrderEvent.Ordered) run(order)).outcome())
                .as(row)
                .isEqualTo(OrderOutcome.UNANSWERED));
        server.cut(ACCEPTED, 0, CutServer.End.FINISH);
        assertThat(((OrderEvent.Ordered) run(order)).outcome()).isEqualTo(OrderOutcome.STARTED);
    }

    @ParameterizedTest
    @EnumSource(names = {"FINISH", "RESET"})
    void aCallToTheCloudIsAnsweredOnlyByACompleteHead(CutServer.End end) {
        UsageEffect report = new UsageEffect.Report(1, Map.of(), new NodeName("node-1"), 1);
        forEachCut(ACCEPTED_WITHOUT_BODY, end, row -> assertThat(((UsageEvent.Reported) run(report)).outcome())
                .as(row)
                .isEqualTo(DutyOutcome.UNANSWERED));
        server.cut(ACCEPTED_WITHOUT_BODY, 0, CutServer.End.FINISH);
        assertThat(((UsageEvent.Reported) run(report)).outcome()).isEqualTo(DutyOutcome.DONE);
    }

    /** Guards against heads without a single meaning, whichever client reads them. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 000 None\r\n",
                "HTTP/1.1 000\r\n",
                OK + "X A: 1\r\n",
                OK + "X-A : 1\r\n",
                OK + "X\tA: 1\r\n",
                OK + "X\u0001A: 1\r\n",
                OK + "X\u007fA: 1\r\n"
            })
    void aMalformedHeadIsNoAnswerForAnyClient(String head) {
        server.answer(head + LABELS + "Content-Length: 5\r\n\r\nhello");
        assertThat(attempt("GET")).isInstanceOf(AttemptResult.MayHaveRun.class);
        assertThat(attempt("POST")).isInstanceOf(AttemptResult.MayHaveRun.class);
        assertThat(((BatchEvent.AttemptEnded) run(item())).outcome()).isInstanceOf(AttemptOutcome.Interrupted.class);
        assertThat(((BatchEvent.ScoringEnded) run(score())).outcome()).isInstanceOf(ScoringOutcome.Interrupted.class);
        assertThat(((OrderEvent.ReportRead) run(new OrderEffect.ReadReport(endpoint()))).report())
                .isEmpty();
        OrderEffect order = new OrderEffect.LoadVersion(endpoint(), "m", 2, false, new NodeName("node-1"), 1, 0);
        assertThat(((OrderEvent.Ordered) run(order)).outcome()).isEqualTo(OrderOutcome.UNANSWERED);
        UsageEffect report = new UsageEffect.Report(1, Map.of(), new NodeName("node-1"), 1);
        assertThat(((UsageEvent.Reported) run(report)).outcome()).isEqualTo(DutyOutcome.UNANSWERED);
    }

    /** Runs a check for each number of missing bytes from one on, on a new and on a kept connection. */
    private void forEachCut(String answer, CutServer.End end, java.util.function.Consumer<String> check) {
        for (int missing = 1; missing <= answer.length(); missing++) {
            int requests = server.requests();
            server.cut(answer, missing, end);
            check.accept(missing + " bytes missing on a new connection: " + answer);
            server.answer(SIZED);
            assertThat(attempt("GET")).isInstanceOf(AttemptResult.Complete.class);
            server.cut(answer, missing, end);
            check.accept(missing + " bytes missing on a kept connection: " + answer);
            assertThat(server.requests()).as("received requests").isGreaterThanOrEqualTo(requests + 3);
        }
    }

    /** Prevents that a request is not sent since what is known of the endpoint is too old. */
    private void confirmEndpoint() {
        view.updateFreshness(new RegistryFreshness(Optional.of(DecisionLoop.now()), true));
    }

    private AttemptResult attempt(String method) {
        confirmEndpoint();
        EndpointAttempts.OpenedAttempt opened = attempts.open(
                new OutgoingRequest(
                        REQUEST_ID,
                        method,
                        "/x",
                        List.of(Map.entry("Request-Id", REQUEST_ID)),
                        Optional.empty(),
                        method.equals("POST") ? Bytes.ofUtf8("body") : Bytes.EMPTY),
                endpoint(),
                new EndpointAttempts.Timeouts(TIMEOUT, TIMEOUT),
                EndpointHttp.ConnectionUse.KEPT,
                Optional.empty(),
                _call -> {});
        return opened.failure().orElseGet(() -> attempts.readComplete(opened));
    }

    private Event run(Effect effect) {
        confirmEndpoint();
        loop.accept(new Start(effect));
        try {
            Event event = events.poll(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
            assertThat(event).as("the end of %s", effect).isNotNull();
            return event;
        } catch (InterruptedException exception) {
            throw new IllegalStateException("interrupted", exception);
        }
    }

    private BatchEffect.Run item() {
        BatchItem item = new BatchItem(REQUEST_ID, "/x", Map.of(), Bytes.EMPTY, "group", 1, Optional.empty());
        return new BatchEffect.Run(
                new BatchJobId("job"),
                item,
                ++requests,
                "site.example",
                endpoint(),
                0,
                TIMEOUT,
                false,
                OptionalInt.empty());
    }

    private BatchEffect.Score score() {
        ScoringRequest request = new ScoringRequest(REQUEST_ID, "site.example", "/score", Bytes.ofUtf8("text"));
        return new BatchEffect.Score(new BatchJobId("job"), "item", ++requests, request, endpoint(), TIMEOUT, false);
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

    /** A cloud that has accepted each call that it answers. */
    private static final class TestCloudDialect implements CloudDialect {

        @Override
        public Request.Builder report(String address, UsageEffect.Report _report) {
            return new Request.Builder().url("http://" + address + "/usage");
        }

        @Override
        public Request.Builder order(String address, ScalingEffect.Order _order) {
            return new Request.Builder().url("http://" + address + "/order");
        }

        @Override
        public DutyOutcome outcome(int _status) {
            return DutyOutcome.DONE;
        }
    }
}
