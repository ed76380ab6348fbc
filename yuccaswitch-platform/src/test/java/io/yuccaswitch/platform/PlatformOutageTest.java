package io.yuccaswitch.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import com.codahale.metrics.MetricRegistry;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.PlatformPurpose;
import io.yuccaswitch.core.value.Bytes;
import io.yuccaswitch.testkit.platform.Outage;
import io.yuccaswitch.testkit.platform.PlatformStandIn;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PlatformOutageTest {

    private final PlatformStandIn platform = PlatformStandIn.start(0, Optional.empty());

    private final MetricRegistry registry = new MetricRegistry();

    private PlatformClient client = client(PlatformClientSettings.of("http://127.0.0.1:" + platform.port()));

    @AfterEach
    void close() {
        client.close();
        platform.close();
    }

    @Test
    void aReadThatFailsDuringAShortOutageIsRetried() {
        platform.faults().outage(Outage.ERROR);
        Thread recovery = new Thread(() -> {
            await().until(() -> platform.callCount() > 0);
            platform.faults().outage(Outage.NONE);
        });
        recovery.start();
        client = client(PlatformClientSettings.of("http://127.0.0.1:" + platform.port())
                .withRetry(new RetrySettings(10, Duration.ofMillis(200), Duration.ofMillis(200), 0.1))
                .withCircuit(new CircuitSettings(Integer.MAX_VALUE, Duration.ZERO, Duration.ZERO, Duration.ZERO)));
        assertThat(new Calls(client).read()).isEqualTo(new PlatformEvent.ObjectRead(1, Optional.empty()));
    }

    @Test
    void retriesAreLimitedToASmallShareOfTheReads() {
        platform.faults().outage(Outage.ERROR);
        client = client(PlatformClientSettings.of("http://127.0.0.1:" + platform.port())
                .withRates(new CallRates(1000, 1000))
                .withRetry(new RetrySettings(3, Duration.ZERO, Duration.ZERO, 0.1))
                .withCircuit(new CircuitSettings(Integer.MAX_VALUE, Duration.ZERO, Duration.ZERO, Duration.ZERO)));
        for (int read = 0; read < 100; read++) {
            new Calls(client).read();
        }
        assertThat(platform.callCount()).isBetween(110L, 121L);
        assertThat(registry.counter("platform.retries.lease").getCount()).isEqualTo(platform.callCount() - 100);
    }

    @Test
    void aReadOverThePlatformsRateLimitIsRetriedUntilItSucceeds() {
        client = client(PlatformClientSettings.of("http://127.0.0.1:" + platform.port())
                .withRetry(new RetrySettings(10, Duration.ofMillis(500), Duration.ofMillis(500), 0.1)));
        platform.limitRates(0, 5);
        for (int read = 0; read < 8; read++) {
            assertThat(new Calls(client).read()).isInstanceOf(PlatformEvent.ObjectRead.class);
        }
        assertThat(registry.counter("platform.calls.lease.rate-limited").getCount())
                .isPositive();
    }

    @Test
    void aClientAtItsRateLimitSendsNothingAndReportsThatTheWriteDidNotTakeEffect() {
        client = client(
                PlatformClientSettings.of("http://127.0.0.1:" + platform.port()).withRates(new CallRates(1, 1)));
        Calls calls = new Calls(client);
        assertThat(calls.create("a")).isInstanceOf(PlatformEvent.Accepted.class);
        assertThat(calls.create("b"))
                .isEqualTo(new PlatformEvent.Unavailable(1, false, "the client's rate is exhausted"));
        assertThat(platform.callCount()).isEqualTo(1);
    }

    @Test
    void callsOfAllPurposesStopDuringAnOutageAndResumeAfterIt() {
        Calls calls = new Calls(client);
        platform.faults().outage(Outage.ERROR);
        await().until(() -> {
            calls.create("a");
            return client.isCircuitOpen();
        });
        long sent = platform.callCount();
        for (PlatformPurpose purpose : PlatformPurpose.values()) {
            for (int call = 0; call < 200; call++) {
                calls.read(purpose);
            }
        }
        assertThat(platform.callCount() - sent)
                .as("calls sent while the circuit is open")
                .isLessThan(20);
        platform.faults().outage(Outage.NONE);
        await().atMost(Duration.ofSeconds(10)).until(() -> calls.read() instanceof PlatformEvent.ObjectRead);
        for (PlatformPurpose purpose : PlatformPurpose.values()) {
            await().until(() -> calls.read(purpose) instanceof PlatformEvent.ObjectRead);
        }
        assertThat(client.isCircuitOpen()).isFalse();
    }

    @Test
    void aWatcherThatRepeatsItsCallImmediatelyNeitherSpinsNorMissesTheRecovery() {
        Calls calls = new Calls(client);
        platform.faults().outage(Outage.ERROR);
        await().until(() -> {
            calls.create("a");
            return client.isCircuitOpen();
        });
        int watches = 0;
        long endsAt = System.nanoTime() + Duration.ofSeconds(1).toNanos();
        while (System.nanoTime() - endsAt < 0) {
            calls.watch(0);
            watches++;
        }
        assertThat(watches).isLessThan(200);
        platform.faults().outage(Outage.NONE);
        await().atMost(Duration.ofSeconds(15)).until(() -> calls.watch(0) instanceof PlatformEvent.ObjectsListed);
    }

    @Test
    void ordinaryCallsAreLimitedToTheSteadyRateWhenThePlatformRecovers() {
        client = client(
                PlatformClientSettings.of("http://127.0.0.1:" + platform.port()).withRates(new CallRates(1, 100)));
        Calls calls = new Calls(client);
        platform.faults().outage(Outage.ERROR);
        await().until(() -> {
            calls.read();
            return client.isCircuitOpen();
        });
        platform.faults().outage(Outage.NONE);
        await().atMost(Duration.ofSeconds(10)).until(() -> calls.read() instanceof PlatformEvent.ObjectRead);
        PlatformEffect.Write write =
                new PlatformEffect.Write(1, PlatformPurpose.SAMPLE, Calls.KEY, OptionalLong.empty(), Bytes.EMPTY);
        assertThat(calls.call(write))
                .isEqualTo(new PlatformEvent.Unavailable(1, false, "the client's rate is exhausted"));
        await().until(() -> calls.call(write) instanceof PlatformEvent.Accepted);
    }

    private PlatformClient client(PlatformClientSettings settings) {
        return new PlatformClient(settings, registry);
    }
}
