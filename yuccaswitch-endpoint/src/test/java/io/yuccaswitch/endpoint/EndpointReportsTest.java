package io.yuccaswitch.endpoint;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.endpoint.EndpointEffect;
import io.yuccaswitch.core.endpoint.EndpointEvent;
import io.yuccaswitch.core.request.AttemptResult;
import io.yuccaswitch.core.request.RequestEffect;
import io.yuccaswitch.core.request.RequestEvent;
import io.yuccaswitch.core.request.RequestId;
import io.yuccaswitch.core.request.SettlementResult;
import io.yuccaswitch.core.weight.OrderResult;
import io.yuccaswitch.core.weight.WeightEffect;
import io.yuccaswitch.core.weight.WeightEvent;
import io.yuccaswitch.testkit.engine.EngineOptions;
import io.yuccaswitch.testkit.engine.EngineStandIn;
import io.yuccaswitch.testkit.http.Fault;
import io.yuccaswitch.testkit.http.RawServer;
import io.yuccaswitch.testkit.scorer.ScorerOptions;
import io.yuccaswitch.testkit.scorer.ScorerStandIn;
import io.yuccaswitch.testkit.service.ServiceOptions;
import io.yuccaswitch.testkit.service.ServiceStandIn;
import io.yuccaswitch.testkit.weightstore.WeightStoreOptions;
import io.yuccaswitch.testkit.weightstore.WeightStoreStandIn;
import java.io.IOException;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests that probes, cache polls, orders, settlement queries and scoring requests yield the expected events. */
final class EndpointReportsTest {

    private static final Duration ORDER_TIMEOUT = Duration.ofSeconds(10);

    private final ClientFixture fixture = new ClientFixture(new EndpointClientSettings(
            Duration.ofSeconds(1), Duration.ofMillis(700), Duration.ofSeconds(5), 8, 1 << 20, 1 << 20));
    private final List<Event> events = new CopyOnWriteArrayList<>();
    private final List<AutoCloseable> standIns = new ArrayList<>();

    @AfterEach
    void close() throws Exception {
        fixture.close();
        for (AutoCloseable standIn : standIns) {
            standIn.close();
        }
    }

    @Test
    void anEngineReportsItsLoadAndVersions() {
        EngineStandIn engine = engine(options());
        assertThat(probe(engine.server().address())).isInstanceOfSatisfying(EndpointEvent.Reported.class, reported -> {
            assertThat(reported.incarnation()).isEqualTo(engine.server().incarnation());
            assertThat(reported.loadedVersions()).isEqualTo(Map.of("base", 1L));
            assertThat(reported.load().capacity()).isEqualTo(32);
            assertThat(reported.leaving()).isFalse();
        });
    }

    @Test
    void aFrozenEndpointIsUnreachable() {
        EngineStandIn engine = engine(options());
        engine.faults().set(Fault.FROZEN, 1);
        assertThat(probe(engine.server().address())).isInstanceOf(EndpointEvent.Unreachable.class);
        engine.faults().set(Fault.FROZEN, 0);
    }

    @Test
    void anEndpointWithMalformedReportsIsUnreachable() throws IOException {
        for (String report : List.of("[]", "{}", "{\"incarnation\":", "nonsense", "x".repeat(2 << 20))) {
            try (RawServer server = new RawServer(
                    (_request, _id, connection) -> RawServer.write(connection, RawServer.answer("", report)))) {
                assertThat(probe(server.address())).isInstanceOf(EndpointEvent.Unreachable.class);
            }
        }
    }

    @Test
    void eachPrefixCacheEventIsReadOnce() {
        EngineOptions options = options();
        options.cacheEventLoss = 0;
        EngineStandIn engine = engine(options);
        fixture.generate(engine.server().address(), "a", "{\"max_tokens\":1,\"prompt\":\"" + "p".repeat(600) + "\"}");
        CacheEventPoller poller = new CacheEventPoller(fixture.http, events::add);
        EndpointEffect.ReadCacheEvents effect = new EndpointEffect.ReadCacheEvents(
                ClientFixture.ENDPOINT, engine.server().address());
        await().untilAsserted(() -> {
            poller.poll(effect);
            assertThat(events).hasSize(2);
        });
        poller.poll(effect);
        fixture.generate(engine.server().address(), "b", "{\"max_tokens\":1,\"prompt\":\"" + "q".repeat(300) + "\"}");
        await().untilAsserted(() -> {
            poller.poll(effect);
            assertThat(events).hasSize(3).allMatch(event -> ((EndpointEvent.PrefixCached) event).cached());
        });
    }

    @Test
    void anOrderIsAcceptedAfterLoadingFromTheStore() throws Exception {
        WeightStoreStandIn store = new WeightStoreStandIn(new WeightStoreOptions());
        standIns.add(store);
        EngineOptions options = options();
        options.weightStore = store.server().address();
        EngineStandIn engine = engine(options);
        assertThat(order(engine.server().address(), 1, 2)).isEqualTo(OrderResult.ACCEPTED);
        assertThat(TestHttp.get(engine.server().address(), "/load")).contains("\"base\":2");
        assertThat(TestHttp.get(store.server().address(), "/records")).contains("\"base/2\":1");
    }

    @Test
    void anOldFencingNumberIsRefusedByAnEngineThatChecks() {
        EngineOptions options = options();
        options.checkFencing = true;
        EngineStandIn engine = engine(options);
        assertThat(order(engine.server().address(), 7, 2)).isEqualTo(OrderResult.ACCEPTED);
        assertThat(order(engine.server().address(), 6, 3)).isEqualTo(OrderResult.FENCED);
        assertThat(order(engine(options()).server().address(), 6, 3)).isEqualTo(OrderResult.ACCEPTED);
    }

    @Test
    void aFailedSwapIsReportedAndAFalselyClaimedSwapShowsInTheLoadReport() throws Exception {
        EngineStandIn engine = engine(options());
        engine.faults().set(Fault.SWAP_FAILURES, 1);
        assertThat(order(engine.server().address(), 1, 2)).isEqualTo(OrderResult.FAILED);
        engine.faults().set(Fault.SWAP_CLAIMS, 1);
        assertThat(order(engine.server().address(), 1, 2)).isEqualTo(OrderResult.ACCEPTED);
        assertThat(TestHttp.get(engine.server().address(), "/load")).contains("\"base\":1");
    }

    @Test
    void anOrderWhoseAnswerIsLostIsUnknown() {
        EngineStandIn engine = engine(options());
        engine.faults().set(Fault.CUT_ANSWERS, 1);
        assertThat(order(engine.server().address(), 1, 2)).isEqualTo(OrderResult.UNKNOWN);
    }

    @Test
    void anOrderIsNotSentAtTheEndOfItsValidity() throws IOException {
        try (RawServer server =
                new RawServer((_request, _id, connection) -> RawServer.write(connection, RawServer.answer("", "{}")))) {
            assertThat(order(server.address(), 1, 2, Duration.ZERO)).isEqualTo(OrderResult.NOT_SENT);
            assertThat(server.requests()).isZero();
        }
    }

    @Test
    void anOrderToAStoppedEngineFails() throws IOException {
        String address;
        try (ServerSocket unused = new ServerSocket(0)) {
            address = "127.0.0.1:" + unused.getLocalPort();
        }
        assertThat(order(address, 1, 2)).isEqualTo(OrderResult.FAILED);
    }

    @Test
    void aServiceSettlesRequestsAndNeverRunsOneThatItReportedAsNotRun() {
        ServiceOptions options = new ServiceOptions();
        options.settlesRequests = true;
        ServiceStandIn service = new ServiceStandIn(options);
        standIns.add(service);
        String address = service.server().address();
        service.faults().set(Fault.RESETS_AFTER_RUN, 1);
        fixture.post(address, "vm-1@3/a?#%");
        assertThat(settle(address, "vm-1@3/a?#%")).isInstanceOf(SettlementResult.Answered.class);
        assertThat(settle(address, "vm-1@3/b")).isEqualTo(new SettlementResult.NotSeen());
        assertThat(fixture.post(address, "vm-1@3/b")).isEqualTo(new AttemptResult.NotRun("settled-not-run", false));
        assertThat(service.runs()).containsEntry("vm-1@3/b", 0);
        assertThat(settle(address, "..")).isInstanceOf(SettlementResult.Unanswered.class);
    }

    @Test
    void aSettlementOfAnotherRequestIsRejected() throws IOException {
        String body = "{\"requestId\":\"other\",\"state\":\"not-run\"}";
        try (RawServer server =
                new RawServer((_request, _id, connection) -> RawServer.write(connection, RawServer.answer("", body)))) {
            assertThat(settle(server.address(), "a")).isInstanceOf(SettlementResult.Unanswered.class);
        }
    }

    @Test
    void aScorerIsCalledLikeAPlainService() {
        ScorerStandIn scorer = new ScorerStandIn(new ScorerOptions());
        standIns.add(scorer);
        String sample = "{\"trainer\":\"t\",\"step\":3,\"group\":0,\"index\":1,\"prompt\":\"p\",\"text\":\"x\"}";
        RequestEffect.Send send = fixture.send(
                scorer.server().address(),
                ClientFixture.request("a", "/score", sample),
                Duration.ofSeconds(5),
                java.util.Optional.empty());
        AttemptResult result =
                ClientFixture.result(fixture.start(send, io.yuccaswitch.core.configuration.PoolKind.SERVICE));
        assertThat(((AttemptResult.Complete) result).body().toUtf8())
                .isEqualTo("{\"score\":" + ScorerStandIn.scoreOf("x") + "}");
        assertThat(scorer.runs()).containsExactly(Map.entry("t/3/0/1", 1));
    }

    private EngineStandIn engine(EngineOptions options) {
        EngineStandIn engine = new EngineStandIn(options);
        standIns.add(engine);
        return engine;
    }

    private static EngineOptions options() {
        EngineOptions options = new EngineOptions();
        options.timeScale = 0.05;
        options.reportLagMillis = 0;
        return options;
    }

    private Event probe(String address) {
        LoadProber prober = new LoadProber(fixture.http, ClientFixture::now, events::add);
        prober.probe(new EndpointEffect.Probe(ClientFixture.ENDPOINT, address));
        return awaitOnlyEvent();
    }

    private OrderResult order(String address, long fencingNumber, long version) {
        return order(address, fencingNumber, version, ORDER_TIMEOUT);
    }

    private OrderResult order(String address, long fencingNumber, long version, Duration validity) {
        OrderClient orders = new OrderClient(fixture.http, ClientFixture::now, events::add);
        orders.order(
                new WeightEffect.Order(
                        ClientFixture.ENDPOINT,
                        address,
                        fencingNumber,
                        "base",
                        version,
                        "base/" + version,
                        ClientFixture.now().plus(validity)),
                ORDER_TIMEOUT);
        return ((WeightEvent.OrderEnded) awaitOnlyEvent()).result();
    }

    private SettlementResult settle(String address, String id) {
        SettlementClient client = new SettlementClient(fixture.http, events::add);
        client.settle(new RequestEffect.Settle(new RequestId(id), ClientFixture.ENDPOINT, address));
        return ((RequestEvent.Settled) awaitOnlyEvent()).result();
    }

    private Event awaitOnlyEvent() {
        await().until(() -> !events.isEmpty());
        assertThat(events).hasSize(1);
        return events.remove(0);
    }
}
