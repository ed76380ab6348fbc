package io.yuccaswitch.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.javalin.Javalin;
import io.reactivex.rxjava3.observers.TestObserver;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.PlatformPurpose;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.value.Bytes;
import io.yuccaswitch.testkit.platform.Outage;
import io.yuccaswitch.testkit.platform.PlatformStandIn;
import io.yuccaswitch.testkit.proxy.Direction;
import io.yuccaswitch.testkit.proxy.Link;
import io.yuccaswitch.testkit.proxy.LinkFaults;
import io.yuccaswitch.testkit.proxy.LinkMode;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PlatformFaultTest {

    private final PlatformStandIn platform = PlatformStandIn.start(0, Optional.empty());

    private final Link link = new Link(0, new InetSocketAddress(InetAddress.getLoopbackAddress(), platform.port()));

    private final MetricRegistry registry = new MetricRegistry();

    private final PlatformClient client = new PlatformClient(Calls.settings(link.port()), registry);

    private final Calls calls = new Calls(client);

    @AfterEach
    void close() {
        client.close();
        link.close();
        platform.close();
    }

    @Test
    void aCreationWhoseAnswerIsLostIsSentOnceAndMayHaveTakenEffect() {
        platform.faults().loseAnswers(1);
        assertMaybeApplied(calls.create("a"), true);
        assertThat(platform.callCount("write lease")).isEqualTo(1);
        assertThat(stored()).contains(new StoredObject(Calls.KEY, 1, Bytes.ofUtf8("a"), false));
    }

    @Test
    void aReplacementWhoseAnswerIsLostIsSentOnceAndMayHaveTakenEffect() {
        calls.create("a");
        platform.faults().loseAnswers(1);
        assertMaybeApplied(calls.replace(1, "b"), true);
        assertThat(platform.callCount("write lease")).isEqualTo(2);
        assertThat(stored()).contains(new StoredObject(Calls.KEY, 2, Bytes.ofUtf8("b"), false));
    }

    @Test
    void aDeletionWhoseAnswerIsLostIsSentOnceAndMayHaveTakenEffect() {
        calls.create("a");
        platform.faults().loseAnswers(1);
        assertMaybeApplied(calls.delete(1), true);
        assertThat(platform.callCount("delete lease")).isEqualTo(1);
        assertThat(stored()).isEmpty();
    }

    @Test
    void aWriteWhoseRequestIsLostIsNotRepeated() {
        platform.faults().loseRequests(1);
        assertMaybeApplied(calls.create("a"), true);
        assertThat(platform.callCount("write lease")).isEqualTo(1);
        assertThat(stored()).isEmpty();
    }

    @Test
    void aWriteOnABrokenIdleConnectionIsNotRepeated() {
        calls.create("a");
        link.apply(LinkFaults.NONE.withReset(Direction.UP, 10));
        assertMaybeApplied(calls.replace(1, "b"), true);
        assertThat(platform.callCount("write lease")).isEqualTo(1);
    }

    @Test
    void aWriteWhoseConnectionIsRefusedDefinitelyDidNotTakeEffect() {
        link.apply(LinkFaults.of(LinkMode.REFUSE));
        assertMaybeApplied(calls.create("a"), false);
    }

    @Test
    void aWriteOnAConnectionThatDropsAllBytesMayHaveTakenEffect() {
        link.apply(LinkFaults.of(LinkMode.BLACKHOLE));
        assertMaybeApplied(calls.create("a"), true);
    }

    @Test
    void aWriteWhoseAnswerArrivesAfterTheTimeoutMayHaveTakenEffect() {
        platform.faults().delay(Duration.ofSeconds(2));
        assertMaybeApplied(calls.create("a"), true);
        platform.faults().delay(Duration.ZERO);
        assertThat(stored()).isPresent();
    }

    @Test
    void aWriteWhoseAnswerIsTruncatedMayHaveTakenEffect() {
        link.apply(LinkFaults.NONE.withReset(Direction.DOWN, 20));
        assertMaybeApplied(calls.create("a"), true);
        link.apply(LinkFaults.NONE);
        assertThat(stored()).isPresent();
    }

    @Test
    void aWriteAnsweredWithAServerErrorMayHaveTakenEffect() {
        platform.faults().outage(Outage.ERROR);
        assertMaybeApplied(calls.create("a"), true);
    }

    @Test
    void aWriteAnsweredWithRetryAfterIsNotRepeated() {
        AtomicInteger writes = new AtomicInteger();
        Javalin overloaded = Javalin.create(config -> config.routes.put("/objects/{kind}/{name}", context -> {
                    writes.incrementAndGet();
                    context.status(503).header("Retry-After", "0");
                }))
                .start("127.0.0.1", 0);
        try (PlatformClient other = new PlatformClient(Calls.settings(overloaded.port()), new MetricRegistry())) {
            assertMaybeApplied(new Calls(other).create("a"), true);
        } finally {
            overloaded.stop();
        }
        assertThat(writes).hasValue(1);
    }

    @Test
    void aWriteOverThePlatformsRateLimitDefinitelyDidNotTakeEffect() {
        platform.limitRates(0.001, 0);
        assertMaybeApplied(calls.create("a"), false);
        assertThat(count("platform.calls.lease.rate-limited")).isEqualTo(1);
    }

    @Test
    void aWriteWithAnInvalidTokenDefinitelyDidNotTakeEffect() {
        try (PlatformStandIn guarded = PlatformStandIn.start(0, Optional.of("secret"));
                PlatformClient other = new PlatformClient(Calls.settings(guarded.port()), new MetricRegistry())) {
            assertMaybeApplied(new Calls(other).create("a"), false);
        }
    }

    @Test
    void aValueOfMoreThanOneMegabyteIsNotSent() {
        String large = "x".repeat(PlatformClient.MAXIMUM_VALUE_SIZE);
        assertThat(calls.create(large)).isInstanceOf(PlatformEvent.Accepted.class);
        assertMaybeApplied(calls.replace(1, large + "x"), false);
        assertThat(platform.callCount()).isEqualTo(1);
    }

    @Test
    void aPlatformThatDoesNotAnswerDoesNotBlockTheCaller() {
        platform.faults().outage(Outage.SILENT);
        TestObserver<PlatformEvent> answer = client.execute(
                        new PlatformEffect.Read(7, PlatformPurpose.LEASE, Calls.KEY))
                .test();
        answer.assertNotComplete();
        answer.awaitDone(10, TimeUnit.SECONDS);
        answer.assertValue(event -> event instanceof PlatformEvent.Unavailable && event.token() == 7);
    }

    @Test
    void callsAreCountedByPurposeAndOutcome() {
        calls.create("a");
        calls.create("a");
        calls.read(PlatformPurpose.WEIGHT);
        platform.faults().outage(Outage.ERROR);
        calls.read(PlatformPurpose.WEIGHT);
        assertThat(count("platform.sent.lease")).isEqualTo(2);
        assertThat(count("platform.sent.weight")).isEqualTo(2);
        assertThat(count("platform.calls.lease.answered")).isEqualTo(1);
        assertThat(count("platform.calls.lease.conflict")).isEqualTo(1);
        assertThat(count("platform.calls.weight.answered")).isEqualTo(1);
        assertThat(count("platform.calls.weight.failed")).isEqualTo(1);
        assertThat(platform.callCount()).isEqualTo(4);
    }

    @Test
    void theTimeSinceTheLastAnswerIsMeasured() {
        assertThat(client.timeSinceLastAnswer()).isEmpty();
        calls.read();
        link.apply(LinkFaults.of(LinkMode.REFUSE));
        link.cutConnections();
        Duration before = client.timeSinceLastAnswer().orElseThrow();
        calls.read();
        assertThat(client.timeSinceLastAnswer().orElseThrow()).isGreaterThan(before);
        assertThat(registry.getGauges().get("platform.since-heard-millis").getValue())
                .isInstanceOf(Long.class);
    }

    @Test
    void closingTheClientAnswersTheCallsInFlight() {
        platform.faults().outage(Outage.SILENT);
        TestObserver<PlatformEvent> answer = client.execute(new PlatformEffect.Write(
                        7, PlatformPurpose.LEASE, Calls.KEY, OptionalLong.empty(), Bytes.EMPTY))
                .test();
        client.close();
        answer.awaitDone(10, TimeUnit.SECONDS);
        answer.assertValue(PlatformEvent.Unavailable.class::isInstance);
    }

    private Optional<StoredObject> stored() {
        return ((PlatformEvent.ObjectRead) calls.read()).object();
    }

    private long count(String name) {
        return registry.counter(name).getCount();
    }

    private static void assertMaybeApplied(PlatformEvent event, boolean maybeApplied) {
        assertThat(event).isInstanceOf(PlatformEvent.Unavailable.class);
        assertThat(((PlatformEvent.Unavailable) event).maybeApplied())
                .as("maybe applied: %s", event)
                .isEqualTo(maybeApplied);
    }
}
