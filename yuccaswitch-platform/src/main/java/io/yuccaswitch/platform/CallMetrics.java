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

/** The metrics of the client: calls by purpose and outcome, their durations, and when the platform last answered. */
final class CallMetrics {

    /** The first part of all names. */
    private static final String PREFIX = "platform";

    /** The value of the gauge while the platform has never answered. */
    private static final long NEVER = -1;

    /** The registry. */
    private final MetricRegistry registry;

    /** The monotonic clock in nanoseconds. */
    private final LongSupplier clock;

    /** The time in nanoseconds at which the platform last answered. */
    private final AtomicReference<Optional<Long>> heardAt = new AtomicReference<>(Optional.empty());

    /**
     * Creates the metrics.
     *
     * @param registry The registry to fill.
     * @param clock The monotonic clock in nanoseconds.
     */
    CallMetrics(MetricRegistry registry, LongSupplier clock) {
        this.registry = registry;
        this.clock = clock;
        Gauge<Long> gauge = () -> sinceHeard().map(Duration::toMillis).orElse(NEVER);
        registry.gauge(MetricRegistry.name(PREFIX, "since-heard-millis"), () -> gauge);
    }

    /**
     * Adds the gauge of the circuit, which is one while it is open.
     *
     * @param circuit The circuit.
     */
    void observe(Circuit circuit) {
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
     * Returns the numbers of attempts that were sent.
     *
     * @return The numbers by the purposes of the calls, without those of which none was sent.
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
     * Counts an outcome.
     *
     * @param purpose The purpose.
     * @param outcome The outcome.
     */
    void finished(PlatformPurpose purpose, Outcome outcome) {
        registry.counter(MetricRegistry.name(PREFIX, "calls", label(purpose), outcome.label()))
                .inc();
    }

    /**
     * Notes an answer of the platform.
     *
     * @param purpose The purpose of the call.
     * @param sentAt The time in nanoseconds at which the call was sent.
     * @param timed Whether the call's duration tells how fast the platform is, which is not so for watches.
     */
    void heard(PlatformPurpose purpose, long sentAt, boolean timed) {
        long now = clock.getAsLong();
        heardAt.set(Optional.of(now));
        if (timed) {
            registry.timer(MetricRegistry.name(PREFIX, "latency", label(purpose)))
                    .update(now - sentAt, TimeUnit.NANOSECONDS);
        }
    }

    /**
     * Returns the time since the platform last answered.
     *
     * @return The time, or empty if it never answered.
     */
    Optional<Duration> sinceHeard() {
        return heardAt.get().map(time -> Duration.ofNanos(clock.getAsLong() - time));
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
