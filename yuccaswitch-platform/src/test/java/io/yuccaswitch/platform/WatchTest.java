package io.yuccaswitch.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import com.codahale.metrics.MetricRegistry;
import io.javalin.Javalin;
import io.yuccaswitch.core.platform.ObjectKey;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.PlatformPurpose;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.value.Bytes;
import io.yuccaswitch.testkit.platform.PlatformStandIn;
import io.yuccaswitch.testkit.proxy.Link;
import io.yuccaswitch.testkit.proxy.LinkFaults;
import io.yuccaswitch.testkit.proxy.LinkMode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.Future;
import java.util.stream.LongStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class WatchTest {

    private static final long CHANGE_COUNT = 150;

    private final PlatformStandIn platform = PlatformStandIn.start(0, Optional.empty());

    private final Link link = new Link(0, new InetSocketAddress(InetAddress.getLoopbackAddress(), platform.port()));

    private final PlatformClient client = new PlatformClient(Calls.settings(link.port()), new MetricRegistry());

    private final Calls calls = new Calls(client);

    /** A server that accepts connections and never answers, as after an undetected network partition. */
    private final ServerSocket silent = silentSocket();

    @AfterEach
    void close() throws IOException {
        silent.close();
        client.close();
        link.close();
        platform.close();
    }

    private static ServerSocket silentSocket() {
        try {
            return new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    @Test
    void watchesReceiveEachChangeOnceAlthoughConnectionsBreak() throws InterruptedException {
        Thread writer = new Thread(this::writeChanges);
        writer.start();
        List<Long> receivedVersions = new ArrayList<>();
        long after = 0;
        while (after < CHANGE_COUNT) {
            if (calls.watch(after) instanceof PlatformEvent.ObjectsListed listed) {
                assertThat(listed.reset()).isFalse();
                listed.objects().forEach(object -> receivedVersions.add(object.version()));
                after = listed.version();
            }
        }
        writer.join();
        assertThat(receivedVersions)
                .containsExactlyElementsOf(
                        LongStream.rangeClosed(1, CHANGE_COUNT).boxed().toList());
    }

    @Test
    void aWatchWithoutChangesReturnsAfterItsWaitTime() {
        assertThat(calls.watch(0)).isEqualTo(new PlatformEvent.ObjectsListed(1, List.of(), 0, false));
    }

    @Test
    void aWatchFromAVersionOutsideTheHistoryIsReset() {
        calls.create("a");
        calls.replace(1, "b");
        platform.forgetChanges();
        assertThat(calls.watch(1)).isEqualTo(new PlatformEvent.ObjectsListed(1, List.of(), 1, true));
    }

    @Test
    void theStatusGoneResetsAWatch() {
        Javalin server = Javalin.create(config -> config.routes.get("/watch/{kind}", context -> context.status(410)))
                .start("127.0.0.1", 0);
        try (PlatformClient other = new PlatformClient(Calls.settings(server.port()), new MetricRegistry())) {
            assertThat(new Calls(other).watch(5)).isEqualTo(new PlatformEvent.ObjectsListed(1, List.of(), 5, true));
        } finally {
            server.stop();
        }
    }

    @Test
    void theVersionOfAWatchNeverDecreasesWhenALaggingReplicaAnswers() {
        Javalin server = Javalin.create(config -> config.routes.get(
                        "/watch/{kind}",
                        context -> context.result("{\"version\":3,\"reset\":false,\"objects\":"
                                + "[{\"name\":\"pool\",\"version\":3,\"deleted\":false,\"value\":\"YQ==\"}]}")))
                .start("127.0.0.1", 0);
        try (PlatformClient other = new PlatformClient(Calls.settings(server.port()), new MetricRegistry())) {
            assertThat(new Calls(other).watch(5)).isEqualTo(new PlatformEvent.ObjectsListed(1, List.of(), 5, false));
            assertThat(new Calls(other).watch(2))
                    .isEqualTo(new PlatformEvent.ObjectsListed(
                            1, List.of(new StoredObject(Calls.KEY, 3, Bytes.ofUtf8("a"), false)), 3, false));
        } finally {
            server.stop();
        }
    }

    @Test
    void aWaitingWatchIsCancelledWhenAnotherCallFails() throws Exception {
        Duration wait = Duration.ofSeconds(20);
        try (PlatformClient partitioned = new PlatformClient(
                Calls.settings(silent.getLocalPort()).withTimeouts(Duration.ofMillis(200), wait),
                new MetricRegistry())) {
            Future<PlatformEvent> watch = partitioned
                    .execute(new PlatformEffect.Watch(1, PlatformPurpose.LEASE, Calls.KEY.kind(), 0))
                    .toFuture();
            await().until(() -> partitioned.watchesInFlight() == 1);
            assertThat(new Calls(partitioned).read()).isInstanceOf(PlatformEvent.Unavailable.class);
            await().atMost(Duration.ofSeconds(10)).until(watch::isDone);
            assertThat(watch.get()).isInstanceOf(PlatformEvent.Unavailable.class);
        }
    }

    @Test
    void cancelledWatchesAreNotTreatedAsFailuresOfThePlatform() throws Exception {
        PlatformClientSettings settings = Calls.settings(silent.getLocalPort())
                .withTimeouts(Duration.ofMillis(200), Duration.ofSeconds(20))
                .withCircuit(
                        new CircuitSettings(3, Duration.ofSeconds(9), Duration.ofSeconds(9), Duration.ofSeconds(9)));
        try (PlatformClient partitioned = new PlatformClient(settings, new MetricRegistry())) {
            List<Future<PlatformEvent>> watches = new ArrayList<>();
            for (int watch = 0; watch < 4; watch++) {
                watches.add(partitioned
                        .execute(new PlatformEffect.Watch(1, PlatformPurpose.LEASE, Calls.KEY.kind(), 0))
                        .toFuture());
            }
            await().until(() -> partitioned.watchesInFlight() == 4);
            assertThat(new Calls(partitioned).read()).isInstanceOf(PlatformEvent.Unavailable.class);
            for (Future<PlatformEvent> watch : watches) {
                assertThat(watch.get()).isInstanceOf(PlatformEvent.Unavailable.class);
            }
            assertThat(partitioned.isCircuitOpen()).isFalse();
        }
    }

    private void writeChanges() {
        try (PlatformClient writer = new PlatformClient(
                Calls.settings(platform.port()).withRates(new CallRates(1000, 1000)), new MetricRegistry())) {
            for (int change = 1; change <= CHANGE_COUNT; change++) {
                PlatformEffect.Write write = new PlatformEffect.Write(
                        change,
                        PlatformPurpose.LEASE,
                        new ObjectKey("lease", "pool-" + change),
                        OptionalLong.empty(),
                        Bytes.EMPTY);
                assertThat(new Calls(writer).call(write)).isInstanceOf(PlatformEvent.Accepted.class);
                if (change % 10 == 0) {
                    link.cutConnections();
                }
            }
        }
    }

    @Test
    void aWatchMayWaitLongerThanOtherCalls() {
        try (PlatformClient clientWithLongWatchWait = new PlatformClient(
                Calls.settings(link.port()).withTimeouts(Duration.ofMillis(200), Duration.ofMillis(800)),
                new MetricRegistry())) {
            assertThat(new Calls(clientWithLongWatchWait).watch(0)).isInstanceOf(PlatformEvent.ObjectsListed.class);
        }
    }

    @Test
    @Timeout(20)
    void aWatchTimesOutSoonAfterItsOwnWaitTimeAlthoughTheDefaultIsLonger() {
        try (PlatformClient clientWithLongWatchWait = new PlatformClient(
                Calls.settings(link.port()).withTimeouts(Duration.ofMillis(200), Duration.ofSeconds(60)),
                new MetricRegistry())) {
            link.apply(LinkFaults.of(LinkMode.BLACKHOLE));
            PlatformEvent answer = new Calls(clientWithLongWatchWait)
                    .call(new PlatformEffect.Watch(
                            1, PlatformPurpose.LEASE, Calls.KEY.kind(), 0, Optional.of(Duration.ofMillis(100))));
            assertThat(answer).isInstanceOf(PlatformEvent.Unavailable.class);
        }
    }
}
