package io.yuccaswitch.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.javalin.Javalin;
import io.yuccaswitch.core.identity.AvailabilityZone;
import io.yuccaswitch.core.identity.EndpointName;
import io.yuccaswitch.core.identity.PoolName;
import io.yuccaswitch.core.registry.RegisteredEndpoint;
import io.yuccaswitch.core.registry.RegistryFreshness;
import io.yuccaswitch.core.value.Bytes;
import io.yuccaswitch.endpoint.EndpointChecks;
import io.yuccaswitch.endpoint.EndpointClientSettings;
import io.yuccaswitch.endpoint.EndpointHttp;
import io.yuccaswitch.node.decision.DecisionLoop;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import okhttp3.Call;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a request that is written to an endpoint that has left. An endpoint was checked only when it was
 * chosen: while a connection was opened or the VM was suspended, it could announce that it leaves, and the request was
 * still written.
 */
final class DispatchCheckTest {

    private static final PoolName POOL = new PoolName("ledger");
    private static final EndpointClientSettings SETTINGS = new EndpointClientSettings(
            Duration.ofSeconds(3), Duration.ofSeconds(3), Duration.ofSeconds(5), 4, 1L << 20, 1L << 20);

    private final AtomicInteger arrived = new AtomicInteger();
    private final MetricRegistry metrics = new MetricRegistry();
    private final GatewayView view = new GatewayView();
    private final EndpointHttp http = new EndpointHttp(SETTINGS, new MetricRegistry());
    private final EndpointAttempts attempts = new EndpointAttempts(
            http, new TestEndpointDialect(), new EndpointChecks(metrics), new DispatchCheck(view, metrics));
    private Javalin server;
    private RegisteredEndpoint endpoint;

    @BeforeEach
    void startEndpoint() {
        server = Javalin.create(config -> config.routes.post("/x", context -> {
                    arrived.incrementAndGet();
                    context.header("Request-Id", "request-1").result("done");
                }))
                .start("127.0.0.1", 0);
        endpoint = endpoint(1);
        view.replace(List.of(endpoint));
        updateFreshness(Duration.ZERO, false);
    }

    @AfterEach
    void stopEndpoint() {
        http.close();
        server.stop();
    }

    @Test
    void sendsRequestToWorkingEndpoint() {
        assertThat(attempt(_call -> {})).isInstanceOf(AttemptResult.Complete.class);
        assertThat(metrics.histogram("gateway.registry-age-millis").getCount()).isOne();
    }

    @Test
    void withholdsRequestIfEndpointLeavesAfterItWasChosen() {
        AttemptResult result = attempt(_call -> view.replace(List.of()));
        assertWithheld(result);
    }

    @Test
    void withholdsRequestIfEndpointRestartsAfterItWasChosen() {
        AttemptResult result = attempt(_call -> view.replace(List.of(endpoint(2))));
        assertWithheld(result);
    }

    @Test
    void withholdsRequestIfStateIsStale() {
        AttemptResult result = attempt(
                _call -> updateFreshness(RegistryFreshness.MAXIMUM_DISPATCH_AGE.plus(Duration.ofMillis(1)), false));
        assertWithheld(result);
    }

    @Test
    void sendsRequestByLastStateWhilePlatformIsUnreachable() {
        AttemptResult result = attempt(_call -> updateFreshness(Duration.ofSeconds(30), true));
        assertThat(result).isInstanceOf(AttemptResult.Complete.class);
    }

    @Test
    void waitingRequestResumesWhenPlatformAnswers() {
        updateFreshness(Duration.ofSeconds(30), false);
        ExecutorService threads = Executors.newSingleThreadExecutor();
        try {
            Future<Boolean> waiting = threads.submit(() -> view.awaitFreshness(Duration.ofSeconds(30)));
            updateFreshness(Duration.ZERO, false);
            assertThat(waiting).succeedsWithin(Duration.ofSeconds(20)).isEqualTo(true);
        } finally {
            threads.shutdownNow();
        }
    }

    @Test
    void requestDoesNotWaitForPlatformBeyondItsTimeout() {
        updateFreshness(Duration.ofSeconds(30), false);
        assertThat(view.awaitFreshness(Duration.ofMillis(20))).isFalse();
    }

    private void assertWithheld(AttemptResult result) {
        assertThat(result).isInstanceOfSatisfying(AttemptResult.NotRun.class, notRun -> assertThat(notRun.cause())
                .isEqualTo(AttemptResult.NotRunCause.WITHHELD));
        assertThat(arrived).hasValue(0);
        assertThat(metrics.meter("gateway.withheld-requests").getCount()).isOne();
    }

    /** Makes an attempt, and runs an action after the endpoint was chosen and before the request is written. */
    private AttemptResult attempt(Consumer<Call> beforeWrite) {
        OutgoingRequest request = new OutgoingRequest(
                "request-1",
                "POST",
                "/x",
                List.of(Map.entry("Request-Id", "request-1")),
                Optional.empty(),
                Bytes.EMPTY);
        EndpointAttempts.Timeouts timeouts =
                new EndpointAttempts.Timeouts(Duration.ofSeconds(10), Duration.ofSeconds(10));
        EndpointAttempts.OpenedAttempt opened = attempts.open(
                request, endpoint, timeouts, EndpointHttp.ConnectionUse.KEPT, Optional.empty(), beforeWrite);
        return opened.failure().orElseGet(() -> attempts.readComplete(opened));
    }

    private void updateFreshness(Duration age, boolean platformUnreachable) {
        view.updateFreshness(
                new RegistryFreshness(Optional.of(DecisionLoop.now().plus(age.negated())), platformUnreachable));
    }

    private RegisteredEndpoint endpoint(long incarnation) {
        return new RegisteredEndpoint(
                new EndpointName(POOL, "one", incarnation),
                "127.0.0.1:" + server.port(),
                new AvailabilityZone("zone-a"),
                4,
                false,
                Map.of());
    }
}
