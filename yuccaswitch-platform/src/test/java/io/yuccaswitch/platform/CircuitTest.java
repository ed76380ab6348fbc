package io.yuccaswitch.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.yuccaswitch.core.platform.PlatformPurpose;
import io.yuccaswitch.platform.Circuit.Admission;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class CircuitTest {

    private static final Duration MAXIMUM_DELAY = Duration.ofSeconds(5);

    private static final Duration MAXIMUM_LEASE_DELAY = Duration.ofSeconds(1);

    private static final Duration STEP = Duration.ofMillis(20);

    private final AtomicLong clock = new AtomicLong();

    private final AtomicInteger closeCount = new AtomicInteger();

    private final Circuit circuit = circuit(1);

    @Test
    void theCircuitOpensOnlyAfterConsecutiveFailures() {
        circuit.failed(circuit.admit(PlatformPurpose.SAMPLE));
        circuit.failed(circuit.admit(PlatformPurpose.SAMPLE));
        circuit.succeeded();
        circuit.failed(circuit.admit(PlatformPurpose.SAMPLE));
        circuit.failed(circuit.admit(PlatformPurpose.SAMPLE));
        assertThat(circuit.admit(PlatformPurpose.SAMPLE)).isEqualTo(Admission.PASS);
        circuit.failed(Admission.PASS);
        assertThat(circuit.admit(PlatformPurpose.SAMPLE)).isEqualTo(Admission.REFUSE);
    }

    @Test
    void onlyOneProbeIsInFlightAndItsSuccessClosesTheCircuit() {
        open(circuit);
        advance(MAXIMUM_DELAY);
        assertThat(circuit.admit(PlatformPurpose.SAMPLE)).isEqualTo(Admission.PROBE);
        assertThat(circuit.admit(PlatformPurpose.SAMPLE)).isEqualTo(Admission.REFUSE);
        circuit.succeeded();
        assertThat(circuit.admit(PlatformPurpose.SAMPLE)).isEqualTo(Admission.PASS);
        assertThat(closeCount).hasValue(1);
    }

    @Test
    void afterAnAbandonedProbeAnotherOneIsAdmitted() {
        open(circuit);
        advance(MAXIMUM_DELAY);
        circuit.abandoned(circuit.admit(PlatformPurpose.SAMPLE));
        assertThat(circuit.admit(PlatformPurpose.SAMPLE)).isEqualTo(Admission.PROBE);
    }

    @Test
    void aLateFailureOfAnEarlierCallDoesNotDelayTheProbe() {
        open(circuit);
        Duration before = circuit.timeUntilProbe();
        circuit.failed(Admission.PASS);
        assertThat(circuit.timeUntilProbe()).isEqualTo(before);
    }

    @ParameterizedTest
    @EnumSource(PlatformPurpose.class)
    void anOutageOfAnHourCausesFewProbesForEachPurpose(PlatformPurpose purpose) {
        open(circuit);
        int probes = 0;
        for (Duration time = Duration.ZERO; time.compareTo(Duration.ofHours(1)) < 0; time = time.plus(STEP)) {
            advance(STEP);
            if (circuit.admit(purpose) == Admission.PROBE) {
                probes++;
                circuit.failed(Admission.PROBE);
            }
        }
        if (purpose == PlatformPurpose.LEASE) {
            assertThat(probes).isBetween(6000, 8000);
        } else {
            assertThat(probes).isBetween(1300, 1600);
        }
        advance(MAXIMUM_DELAY);
        assertThat(circuit.admit(purpose)).isEqualTo(Admission.PROBE);
    }

    @Test
    void probesOfClientsThatFailedTogetherAreSpreadOverTheDelay() {
        int tenths = (int) (MAXIMUM_DELAY.toMillis() / 100);
        int[] probes = new int[tenths + 1];
        for (int client = 0; client < 350; client++) {
            Circuit other = circuit(client);
            open(other);
            for (int failure = 0; failure < 10; failure++) {
                advance(MAXIMUM_DELAY);
                other.failed(other.admit(PlatformPurpose.SAMPLE));
            }
            probes[(int) (other.timeUntilProbe().toMillis() / 100)]++;
        }
        assertThat(probes).satisfies(counts -> {
            for (int count : counts) {
                assertThat(count).isLessThan(25);
            }
        });
    }

    @Test
    void aProbeForALeaseIsAdmittedWithinTheMaximumLeaseDelayAfterALongOutage() {
        for (int seed = 0; seed < 100; seed++) {
            Circuit other = circuit(seed);
            open(other);
            for (int failure = 0; failure < 20; failure++) {
                advance(MAXIMUM_DELAY);
                other.failed(other.admit(PlatformPurpose.SAMPLE));
            }
            advance(MAXIMUM_LEASE_DELAY);
            assertThat(other.admit(PlatformPurpose.LEASE)).isEqualTo(Admission.PROBE);
        }
    }

    private Circuit circuit(long seed) {
        FullJitterBackoff backoff =
                new FullJitterBackoff(Duration.ofMillis(200), MAXIMUM_DELAY, new SplittableRandom(seed));
        return new Circuit(3, backoff, MAXIMUM_LEASE_DELAY, clock::get, closeCount::incrementAndGet);
    }

    private static void open(Circuit circuit) {
        for (int failure = 0; failure < 3; failure++) {
            circuit.failed(circuit.admit(PlatformPurpose.SAMPLE));
        }
    }

    private void advance(Duration step) {
        clock.addAndGet(step.toNanos());
    }
}
