package io.yuccaswitch.node.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.javalin.Javalin;
import io.yuccaswitch.core.batch.BatchEffect;
import io.yuccaswitch.core.batch.BatchItem;
import io.yuccaswitch.core.batch.BatchJobId;
import io.yuccaswitch.core.decision.DecisionCore;
import io.yuccaswitch.core.decision.Event;
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
import java.util.OptionalInt;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against items whose requests lack the priority that was decided, or carry one that was not. */
final class ItemPriorityTest {

    private static final EndpointClientSettings SETTINGS = new EndpointClientSettings(
            Duration.ofSeconds(3), Duration.ofSeconds(3), Duration.ofSeconds(5), 4, 1L << 20, 1L << 20);

    private final BlockingQueue<Optional<String>> priorities = new LinkedBlockingQueue<>();
    private final MetricRegistry metrics = new MetricRegistry();
    private final GatewayView view = new GatewayView();
    private final EndpointHttp http = new EndpointHttp(SETTINGS, new MetricRegistry());
    private final Javalin engine = Javalin.create(config -> config.routes.post("/x", context -> {
                priorities.add(Optional.ofNullable(context.header(TestEndpointDialect.PRIORITY_HEADER)));
                context.status(503);
            }))
            .start("127.0.0.1", 0);
    private final RegisteredEndpoint endpoint = new RegisteredEndpoint(
            new EndpointName(new PoolName("sampler"), "one", 1),
            "127.0.0.1:" + engine.port(),
            new AvailabilityZone("zone-a"),
            4,
            false,
            Map.of());
    private final DecisionLoop loop = new DecisionLoop(
            new DecisionCore(
                    List.of(tick -> tick.events(Start.class).forEach(start -> tick.emit(run(start.priority())))), 1),
            () -> {});
    private final ItemRunner runner = new ItemRunner(
            http, new TestEndpointDialect(), new EndpointChecks(metrics), new DispatchCheck(view, metrics), loop);

    @AfterEach
    void stop() {
        runner.close();
        loop.close();
        http.close();
        engine.stop();
    }

    @Test
    void aRequestCarriesThePriorityOfItsItem() throws InterruptedException {
        assertThat(priorityOfRequest(OptionalInt.of(9))).contains("9");
    }

    @Test
    void aRequestCarriesNoPriorityIfNoneWasDecided() throws InterruptedException {
        assertThat(priorityOfRequest(OptionalInt.empty())).isEmpty();
    }

    private Optional<String> priorityOfRequest(OptionalInt priority) throws InterruptedException {
        view.replace(List.of(endpoint));
        view.updateFreshness(new RegistryFreshness(Optional.of(DecisionLoop.now()), true));
        loop.start();
        loop.accept(new Start(priority));
        return priorities.poll(10, TimeUnit.SECONDS);
    }

    private BatchEffect.Run run(OptionalInt priority) {
        BatchItem item = new BatchItem("item", "/x", Map.of(), Bytes.EMPTY, "group", 1, Optional.empty());
        return new BatchEffect.Run(
                new BatchJobId("job"), item, 1, "site.example", endpoint, 0, Duration.ofSeconds(10), false, priority);
    }

    /** Makes the core run the item. */
    private record Start(OptionalInt priority) implements Event {}
}
