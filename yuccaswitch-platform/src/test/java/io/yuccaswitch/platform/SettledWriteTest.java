package io.yuccaswitch.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.observers.TestObserver;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.PlatformPurpose;
import io.yuccaswitch.core.platform.StoredObject;
import io.yuccaswitch.core.value.Bytes;
import io.yuccaswitch.testkit.platform.Outage;
import io.yuccaswitch.testkit.platform.PlatformStandIn;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class SettledWriteTest {

    private final PlatformStandIn platform = PlatformStandIn.start(0, Optional.empty());

    private final PlatformClient client = new PlatformClient(Calls.settings(platform.port()), new MetricRegistry());

    private final Calls calls = new Calls(client);

    @AfterEach
    void close() {
        client.close();
        platform.close();
    }

    @Test
    void aWriteWhoseAnswerIsLostIsConfirmedByReading() {
        platform.faults().loseAnswers(1);
        assertThat(executeWrite(OptionalLong.empty(), "mine")).isEqualTo(new SettledWrite.Outcome.Applied(1));
        assertThat(platform.callCount("write lease")).isEqualTo(1);
    }

    @Test
    void aWriteWhoseRequestIsLostIsSentAgainWithTheSameCondition() {
        calls.create("old");
        platform.faults().loseRequests(1);
        assertThat(executeWrite(OptionalLong.of(1), "mine")).isEqualTo(new SettledWrite.Outcome.Applied(2));
        assertThat(current()).contains(new StoredObject(Calls.KEY, 2, Bytes.ofUtf8("mine"), false));
    }

    @Test
    void aWriteWhoseAnswerIsLostTakesEffectOnlyOnceDespiteALaggingReplica() {
        calls.create("old");
        platform.faults().replicaLag(Duration.ofMinutes(1));
        platform.faults().loseAnswers(1);
        assertThat(executeWrite(OptionalLong.of(1), "mine")).isEqualTo(new SettledWrite.Outcome.Applied(2));
    }

    @Test
    void aCreationIsNotReportedAsRejectedWhenALaggingReplicaReturnsADeletedObject() throws InterruptedException {
        calls.create("deleted");
        TimeUnit.MILLISECONDS.sleep(400);
        calls.delete(1);
        platform.faults().replicaLag(Duration.ofMillis(300));
        platform.faults().loseAnswers(1);
        assertThat(executeWrite(OptionalLong.empty(), "mine")).isEqualTo(new SettledWrite.Outcome.Applied(3));
    }

    @Test
    void aWriteThatConflictsIsRejectedWithTheCurrentObject() {
        calls.create("winner");
        assertThat(executeWrite(OptionalLong.empty(), "mine"))
                .isEqualTo(new SettledWrite.Outcome.Rejected(
                        Optional.of(new StoredObject(Calls.KEY, 1, Bytes.ofUtf8("winner"), false))));
    }

    @Test
    void aWriteThatTookEffectAndWasReplacedIsNotReportedAsRejected() {
        calls.create("old");
        platform.faults().delay(Duration.ofSeconds(5));
        try (PlatformClient clientWithLongTimeout = createClientWithLongTimeout()) {
            TestObserver<SettledWrite.Outcome> outcome = write(clientWithLongTimeout, OptionalLong.of(1), "mine")
                    .execute()
                    .test();
            await().until(() -> platform.callCount("write lease") == 2);
            platform.faults().delay(Duration.ZERO);
            await().until(() -> calls.replace(2, "later") instanceof PlatformEvent.Accepted);
            outcome.awaitDone(20, TimeUnit.SECONDS);
            outcome.assertValue(new SettledWrite.Outcome.Superseded(
                    Optional.of(new StoredObject(Calls.KEY, 3, Bytes.ofUtf8("later"), false))));
        }
    }

    @Test
    void aSupersededWriteReturnsTheObjectThatReplacedIt() {
        calls.create("old");
        calls.replace(1, "later");
        platform.faults().loseRequests(1);
        assertThat(executeWrite(OptionalLong.of(1), "mine"))
                .isEqualTo(new SettledWrite.Outcome.Superseded(
                        Optional.of(new StoredObject(Calls.KEY, 2, Bytes.ofUtf8("later"), false))));
    }

    @Test
    void theOutcomeOfAWriteIsDeterminedAfterAnOutageThatBeganDuringIt() {
        platform.faults().delay(Duration.ofSeconds(5));
        try (PlatformClient clientWithLongTimeout = createClientWithLongTimeout()) {
            TestObserver<SettledWrite.Outcome> outcome = write(clientWithLongTimeout, OptionalLong.empty(), "mine")
                    .execute()
                    .test();
            await().until(() -> platform.callCount("write lease") == 1);
            platform.faults().outage(Outage.ERROR);
            platform.faults().delay(Duration.ZERO);
            await().until(() -> platform.callCount("read lease") > 1);
            outcome.assertNotComplete();
            platform.faults().outage(Outage.NONE);
            outcome.awaitDone(20, TimeUnit.SECONDS);
            outcome.assertValue(new SettledWrite.Outcome.Applied(1));
        }
    }

    private PlatformClient createClientWithLongTimeout() {
        return new PlatformClient(
                Calls.settings(platform.port()).withTimeouts(Duration.ofMillis(1500), Duration.ZERO),
                new MetricRegistry());
    }

    private SettledWrite.Outcome executeWrite(OptionalLong expected, String value) {
        return write(client, expected, value).execute().blockingGet();
    }

    private static SettledWrite write(PlatformClient client, OptionalLong expected, String value) {
        Bytes bytes = Bytes.ofUtf8(value);
        return new SettledWrite(client, PlatformPurpose.LEASE, Calls.KEY, expected, bytes, bytes::equals);
    }

    private Optional<StoredObject> current() {
        return ((PlatformEvent.ObjectRead) calls.read()).object();
    }
}
