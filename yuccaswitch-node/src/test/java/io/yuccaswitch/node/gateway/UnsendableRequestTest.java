package io.yuccaswitch.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.plugins.RxJavaPlugins;
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
import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.modelversion.OrderEffect;
import io.yuccaswitch.core.modelversion.OrderEvent;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import io.yuccaswitch.core.value.Bytes;
import io.yuccaswitch.endpoint.EndpointChecks;
import io.yuccaswitch.endpoint.EndpointClientSettings;
import io.yuccaswitch.endpoint.EndpointHttp;
import io.yuccaswitch.node.decision.DecisionLoop;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that can't be sent, such as items that an earlier release accepted, and whose exceptions end
 * the process or leave the core without an outcome.
 */
final class UnsendableRequestTest {

    private static final EndpointClientSettings SETTINGS = new EndpointClientSettings(
            Duration.ofSeconds(3), Duration.ofSeconds(3), Duration.ofSeconds(5), 4, 1L << 20, 1L << 20);

    private final BlockingQueue<Event> outcomes = new LinkedBlockingQueue<>();
    private final ConcurrentLinkedQueue<Throwable> uncaught = new ConcurrentLinkedQueue<>();
    private final MetricRegistry metrics = new MetricRegistry();
    private final EndpointHttp http = new EndpointHttp(SETTINGS, new MetricRegistry());
    private final EndpointChecks checks = new EndpointChecks(metrics);
    private final DispatchCheck dispatch = new DispatchCheck(new GatewayView(), metrics);
    private final DecisionLoop loop = new DecisionLoop(
            new DecisionCore(
                    List.of(tick -> {
                        tick.events(Start.class).forEach(start -> tick.emit(start.effect()));
                        outcomes.addAll(tick.events(BatchEvent.AttemptEnded.class));
                        outcomes.addAll(tick.events(BatchEvent.ScoringEnded.class));
                        outcomes.addAll(tick.events(OrderEvent.ReportRead.class));
                    }),
                    1),
            () -> {});
    private final ItemRunner items = new ItemRunner(http, new TestEndpointDialect(), checks, dispatch, loop);
    private final ScoringRunner scoring = new ScoringRunner(
            new EndpointAttempts(http, new TestEndpointDialect(), checks, dispatch),
            new TestEndpointDialect(),
            loop,
            metrics);
    private final OrderCaller orders = new OrderCaller(http, new TestEndpointDialect(), loop);

    @BeforeEach
    void start() {
        RxJavaPlugins.setErrorHandler(uncaught::add);
        loop.start();
    }

    @AfterEach
    void stop() {
        items.close();
        scoring.close();
        orders.close();
        loop.close();
        http.close();
        RxJavaPlugins.reset();
    }

    @Test
    void anItemWhoseHeadersCanNotBeSentEndsAsImpossible() throws InterruptedException {
        for (Map<String, String> headers :
                List.of(Map.of("Bad Name", "x"), Map.of("X-A", "a\nb"), Map.of("X-A", "a\0b"), Map.of("", "x"))) {
            requireImpossible(new BatchItem("item", "/x", headers, Bytes.EMPTY, "group", 1, Optional.empty()));
        }
    }

    @Test
    void anItemWhoseIdentifierOrPathCanNotBeSentEndsAsImpossible() throws InterruptedException {
        requireImpossible(item("a\nb", "/x"));
        requireImpossible(item("\u00e9", "/x"));
        requireImpossible(item("item", ":x"));
        requireImpossible(item("item", "/a/../x"));
    }

    @Test
    void anItemIsNotGivenUpBecauseItsEngineHasNoValidAddress() throws InterruptedException {
        loop.accept(new Start(run(item("item", "/x"), "127.0.0.1:99999")));

        Event outcome = outcomes.poll(10, TimeUnit.SECONDS);

        assertThat(uncaught).isEmpty();
        assertThat(outcome).isInstanceOfSatisfying(BatchEvent.AttemptEnded.class, ended -> assertThat(ended.outcome())
                .isInstanceOf(AttemptOutcome.Interrupted.class));
    }

    @Test
    void aScoringRequestThatCanNotBeSentEndsAsRefused() throws InterruptedException {
        ScoringRequest request = new ScoringRequest("score", "site.example", "/x", Bytes.EMPTY);
        loop.accept(new Start(new BatchEffect.Score(
                new BatchJobId("job"),
                "item",
                1,
                request,
                endpoint("127.0.0.1:99999"),
                Duration.ofSeconds(10),
                false)));

        Event outcome = outcomes.poll(10, TimeUnit.SECONDS);

        assertThat(uncaught).isEmpty();
        assertThat(outcome).isInstanceOfSatisfying(BatchEvent.ScoringEnded.class, ended -> assertThat(ended.outcome())
                .isInstanceOf(ScoringOutcome.Refused.class));
    }

    @Test
    void aReportOfAnEngineWithoutAValidAddressIsUnanswered() throws InterruptedException {
        loop.accept(new Start(new OrderEffect.ReadReport(endpoint("127.0.0.1:99999"))));

        Event outcome = outcomes.poll(10, TimeUnit.SECONDS);

        assertThat(uncaught).isEmpty();
        assertThat(outcome).isInstanceOfSatisfying(OrderEvent.ReportRead.class, read -> assertThat(read.report())
                .isEmpty());
    }

    private void requireImpossible(BatchItem item) throws InterruptedException {
        loop.accept(new Start(run(item, "127.0.0.1:1")));

        Event outcome = outcomes.poll(10, TimeUnit.SECONDS);

        assertThat(uncaught).as(item.toString()).isEmpty();
        assertThat(outcome)
                .as(item.toString())
                .isInstanceOfSatisfying(BatchEvent.AttemptEnded.class, ended -> assertThat(ended.outcome())
                        .isInstanceOf(AttemptOutcome.Impossible.class));
    }

    private static BatchEffect.Run run(BatchItem item, String address) {
        return new BatchEffect.Run(
                new BatchJobId("job"),
                item,
                1,
                "site.example",
                endpoint(address),
                0,
                Duration.ofSeconds(10),
                false,
                OptionalInt.empty());
    }

    private static BatchItem item(String id, String path) {
        return new BatchItem(id, path, Map.of(), Bytes.EMPTY, "group", 1, Optional.empty());
    }

    private static RegisteredEndpoint endpoint(String address) {
        return new RegisteredEndpoint(
                new EndpointName(new PoolName("sampler"), "one", 1),
                address,
                new AvailabilityZone("zone-a"),
                4,
                false,
                Map.of());
    }

    /** Makes the core emit an effect. */
    private record Start(Effect effect) implements Event {}
}
