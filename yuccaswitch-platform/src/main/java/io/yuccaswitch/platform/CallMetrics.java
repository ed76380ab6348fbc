package io.yuccaswitch.platform;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.yuccaswitch.core.platform.PlatformPurpose;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;

/** The metrics of the client: calls by purpose and outcome, their latencies, and the time since the last answer. */
final class CallMetrics {

    /** The prefix of all metric names. */
    private static final String PREFIX = "platform";

    /** The value of the gauge if the platform has never answered. */
    private static final long NEVER = -1;

    /** The registry. */
    private final MetricRegistry registry;

    /** The monotonic clock in nanoseconds. */
    private final LongSupplier clock;

    /** The monotonic time in nanoseconds at which the platform last answered. */
    private final AtomicReference<Optional<Long>> lastAnswerAt = new AtomicReference<>(Optional.empty());

    /**
     * Creates the metrics.
     *
     * @param registry The registry to add the metrics to.
     * @param clock The monotonic clock in nanoseconds.
     */
    CallMetrics(MetricRegistry registry, LongSupplier clock) {
        this.registry = registry;
        this.clock = clock;
        Gauge<Long> gauge = () -> timeSinceLastAnswer().map(Duration::toMillis).orElse(NEVER);
        registry.gauge(MetricRegistry.name(PREFIX, "since-heard-millis"), () -> gauge);
    }

    /**
     * Registers the gauge of the circuit, whose value is one while the circuit is open and zero otherwise.
     *
     * @param circuit The circuit.
     */
    void registerCircuitGauge(Circuit circuit) {
        Gauge<Integer> gauge = () -> circuit.isOpen() ? 1 : 0;
        registry.gauge(MetricRegistry.name(PREFIX, "circuit-open"), () -> gauge);
    }

    /**
     * Counts an attempt that was sent.
     *
     * @param purpose The purpose.
     * @param repeated Whether the attempt repeats an earlier one.
     */
    void sent(PlatformPurpose purpose, boolean repeated) {
        registry.counter(MetricRegistry.name(PREFIX, "sent", label(purpose))).inc();
        if (repeated) {
            registry.counter(MetricRegistry.name(PREFIX, "retries", label(purpose)))
                    .inc();
        }
    }

    /**
     * Returns the number of sent attempts for each purpose.
     *
     * @return The number of attempts by purpose, without purposes that have none.
     */
    Map<PlatformPurpose, Long> sent() {
        Map<PlatformPurpose, Long> numbers = new EnumMap<>(PlatformPurpose.class);
        for (PlatformPurpose purpose : PlatformPurpose.values()) {
            long number = registry.counter(MetricRegistry.name(PREFIX, "sent", label(purpose)))
                    .getCount();
            if (number > 0) {
                numbers.put(purpose, number);
            }
        }
        return numbers;
    }

    /**
     * Counts the outcome of an attempt.
     *
     * @param purpose The purpose.
     * @param outcome The outcome.
     */
    void recordOutcome(PlatformPurpose purpose, Outcome outcome) {
        registry.counter(MetricRegistry.name(PREFIX, "calls", label(purpose), outcome.label()))
                .inc();
    }

    /**
     * Records an answer of the platform.
     *
     * @param purpose The purpose of the call.
     * @param sentAt The monotonic time in nanoseconds at which the call was sent.
     * @param recordsLatency Whether to record the latency. That of a watch is not meaningful, since it waits for
     *     changes.
     */
    void recordAnswer(PlatformPurpose purpose, long sentAt, boolean recordsLatency) {
        long now = clock.getAsLong();
        lastAnswerAt.set(Optional.of(now));
        if (recordsLatency) {
            registry.timer(MetricRegistry.name(PREFIX, "latency", label(purpose)))
                    .update(now - sentAt, TimeUnit.NANOSECONDS);
        }
    }

    /**
     * Returns the time since the platform last answered.
     *
     * @return The time, or empty if it never answered.
     */
    Optional<Duration> timeSinceLastAnswer() {
        return lastAnswerAt.get().map(time -> Duration.ofNanos(clock.getAsLong() - time));
    }

    /**
     * Returns the name of a purpose in metrics.
     *
     * @param purpose The purpose.
     * @return The name in lower case.
     */
    private static String label(PlatformPurpose purpose) {
        return purpose.name().toLowerCase(Locale.ROOT);
    }
}
