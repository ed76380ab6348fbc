package io.yuccaswitch.platform;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.schedulers.Schedulers;
import io.yuccaswitch.core.platform.ObjectKey;
import io.yuccaswitch.core.platform.PlatformEffect;
import io.yuccaswitch.core.platform.PlatformEvent;
import io.yuccaswitch.core.platform.PlatformPurpose;
import io.yuccaswitch.core.value.Bytes;
import io.yuccaswitch.testkit.platform.Outage;
import io.yuccaswitch.testkit.platform.PlatformStandIn;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Prints the figures of the section "Platform" of docs/MEASUREMENTS.md. It is not run with the tests:
 *
 * <pre>
 * mvn -q -B -ntp -pl yuccaswitch-platform -am test -Dtest=PlatformBenchmark -Dsurefire.failIfNoSpecifiedTests=false
 * </pre>
 */
class PlatformBenchmark {

    private static final Duration STEADY_DURATION = Duration.ofSeconds(10);

    private static final Duration OUTAGE_DURATION = Duration.ofSeconds(20);

    private static final Duration RECOVERY_DURATION = Duration.ofSeconds(10);

    private static final Duration DELAY_AFTER_ANSWER = Duration.ofSeconds(1);

    private static final Duration DELAY_AFTER_FAILURE = Duration.ofMillis(100);

    private static final Duration DELAY_AFTER_REJECTION = Duration.ofMillis(1);

    private static final int NODES_PER_LEASE_HOLDER = 10;

    private static final int MAXIMUM_CLIENTS_WITHOUT_CIRCUIT = 64;

    private static final CircuitSettings NO_CIRCUIT =
            new CircuitSettings(Integer.MAX_VALUE, Duration.ZERO, Duration.ZERO, Duration.ZERO);

    private final PlatformStandIn platform = PlatformStandIn.start(0, Optional.empty());

    private final AtomicLong nameSequence = new AtomicLong();

    @AfterEach
    void close() {
        platform.close();
    }

    @Test
    void callsOfOneClientByPurpose() throws InterruptedException {
        measureCalls("without a limit", new CallRates(1_000_000, 1_000_000));
        measureCalls("at the default rates", CallRates.DEFAULT);
    }

    @Test
    void callsInTheFirstSecondAfterAnOutage() throws InterruptedException {
        print(
                "clients, circuit: calls/s before | in the outage | first second | largest 100 ms | all clients answered");
        for (int clients : new int[] {8, 64, 350}) {
            if (clients <= MAXIMUM_CLIENTS_WITHOUT_CIRCUIT) {
                measureOutage(clients, NO_CIRCUIT);
            }
            measureOutage(clients, CircuitSettings.DEFAULT);
        }
    }

    private void measureCalls(String label, CallRates rates) throws InterruptedException {
        MetricRegistry registry = new MetricRegistry();
        PlatformClientSettings settings = settings(CircuitSettings.DEFAULT).withRates(rates);
        try (PlatformClient client = new PlatformClient(settings, registry)) {
            CompositeDisposable loops = new CompositeDisposable();
            for (PlatformPurpose purpose : PlatformPurpose.values()) {
                Supplier<PlatformEffect> write = () -> write(purpose, "object-" + nameSequence.incrementAndGet());
                loops.add(loop(client, write, DELAY_AFTER_REJECTION, Duration.ZERO, () -> {}));
                loops.add(loop(client, () -> read(purpose), DELAY_AFTER_REJECTION, Duration.ZERO, () -> {}));
            }
            TimeUnit.NANOSECONDS.sleep(STEADY_DURATION.toNanos());
            loops.dispose();
        }
        print("one client " + label + ", a write and a read in flight for each purpose:");
        for (PlatformPurpose purpose : PlatformPurpose.values()) {
            String name = purpose.name().toLowerCase(Locale.ROOT);
            Timer latency = registry.timer("platform.latency." + name);
            Snapshot snapshot = latency.getSnapshot();
            print(String.format(
                    Locale.ROOT,
                    "  %-14s %7.1f calls/s, p50 %.2f ms, p99 %.2f ms",
                    name,
                    registry.counter("platform.sent." + name).getCount() / (double) STEADY_DURATION.toSeconds(),
                    snapshot.getMedian() / 1e6,
                    snapshot.get99thPercentile() / 1e6));
        }
    }

    private void measureOutage(int clients, CircuitSettings circuit) throws InterruptedException {
        List<PlatformClient> all = new ArrayList<>();
        ConcurrentHashMap<Integer, Long> answeredAt = new ConcurrentHashMap<>();
        CompositeDisposable loops = new CompositeDisposable();
        for (int index = 0; index < clients; index++) {
            PlatformClient client = new PlatformClient(settings(circuit), new MetricRegistry());
            all.add(client);
            startNode(client, index, answeredAt, loops);
        }
        TimeUnit.NANOSECONDS.sleep(STEADY_DURATION.toNanos());
        double before = rate(STEADY_DURATION);
        platform.faults().outage(Outage.ERROR);
        platform.resetCounts();
        TimeUnit.NANOSECONDS.sleep(OUTAGE_DURATION.toNanos());
        double during = rate(OUTAGE_DURATION);
        answeredAt.clear();
        platform.resetCounts();
        platform.faults().outage(Outage.NONE);
        long recoveredAt = System.nanoTime();
        TimeUnit.SECONDS.sleep(1);
        long first = platform.callCount();
        long largest = platform.largestTenthOfSecond();
        TimeUnit.NANOSECONDS.sleep(RECOVERY_DURATION.toNanos());
        long last =
                answeredAt.values().stream().mapToLong(Long::longValue).max().orElse(recoveredAt);
        print(String.format(
                Locale.ROOT,
                "  %3d, %-7s: %7.1f | %8.1f | %6d | %5d | %d of %d after %.2f s",
                clients,
                circuit.equals(NO_CIRCUIT) ? "none" : "default",
                before,
                during,
                first,
                largest,
                answeredAt.size(),
                clients,
                (last - recoveredAt) / 1e9));
        loops.dispose();
        all.forEach(PlatformClient::close);
        platform.resetCounts();
    }

    /**
     * Starts the calls of a node: a watch, and once a second a write of samples, a list of VMs and a further write. The
     * further write is for a lease on one node in ten, and for a weight on the others.
     */
    private void startNode(
            PlatformClient client, int index, ConcurrentHashMap<Integer, Long> answeredAt, CompositeDisposable loops) {
        List<Supplier<PlatformEffect>> effects = List.of(
                () -> write(
                        index % NODES_PER_LEASE_HOLDER == 0 ? PlatformPurpose.LEASE : PlatformPurpose.WEIGHT,
                        "object-" + nameSequence.incrementAndGet()),
                () -> write(PlatformPurpose.SAMPLE, "sample-" + nameSequence.incrementAndGet()),
                () -> new PlatformEffect.ListVirtualMachines(0, PlatformPurpose.MEMBERSHIP),
                () -> new PlatformEffect.Watch(0, PlatformPurpose.CONFIGURATION, "nothing", 0));
        Runnable answered = () -> answeredAt.putIfAbsent(index, System.nanoTime());
        effects.forEach(effect -> loops.add(loop(client, effect, DELAY_AFTER_FAILURE, DELAY_AFTER_ANSWER, answered)));
    }

    private static Disposable loop(
            PlatformClient client,
            Supplier<PlatformEffect> effect,
            Duration delayAfterFailure,
            Duration delayAfterAnswer,
            Runnable answered) {
        return Single.defer(() -> client.execute(effect.get()))
                .flatMap(event -> {
                    if (event instanceof PlatformEvent.Unavailable) {
                        return delay(delayAfterFailure);
                    }
                    answered.run();
                    return delay(delayAfterAnswer);
                })
                .repeat()
                .subscribe();
    }

    private static Single<Long> delay(Duration time) {
        return Single.timer(time.toNanos(), TimeUnit.NANOSECONDS, Schedulers.computation());
    }

    private PlatformClientSettings settings(CircuitSettings circuit) {
        return PlatformClientSettings.of("http://127.0.0.1:" + platform.port()).withCircuit(circuit);
    }

    private double rate(Duration time) {
        return platform.callCount() / (double) time.toSeconds();
    }

    private static PlatformEffect write(PlatformPurpose purpose, String name) {
        return new PlatformEffect.Write(
                0, purpose, new ObjectKey("benchmark", name), OptionalLong.empty(), Bytes.wrap(new byte[200]));
    }

    private static PlatformEffect read(PlatformPurpose purpose) {
        return new PlatformEffect.Read(0, purpose, new ObjectKey("benchmark", "none"));
    }

    private static void print(String line) {
        System.out.println(line);
    }
}
