package io.yuccaswitch.node.trainer;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Observable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import io.yuccaswitch.core.identity.TrainerName;
import io.yuccaswitch.core.sample.SampleReport;
import io.yuccaswitch.core.sample.SampleSystem;
import io.yuccaswitch.node.decision.DecisionLoop;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;

/** Publishes the sample report of a node as metrics. The decision core is read at a fixed interval. */
public final class SampleMetrics implements AutoCloseable {

    /** The interval at which the decision core is read. */
    private static final Duration READ_INTERVAL = Duration.ofSeconds(2);

    /** The registry of the metrics. */
    private final MetricRegistry registry;

    /** The subscription to the interval. */
    private final Disposable subscription;

    /** The latest report. */
    private volatile SampleReport latest = new SampleReport(Map.of());

    /**
     * Creates metrics and starts reading the decision core.
     *
     * @param loop The loop of the decision core.
     * @param system The sample system to read.
     * @param registry The registry of the metrics.
     */
    public SampleMetrics(DecisionLoop loop, SampleSystem system, MetricRegistry registry) {
        this.registry = registry;
        subscription = Observable.interval(READ_INTERVAL.toMillis(), TimeUnit.MILLISECONDS)
                .flatMapSingle(_count -> Single.fromCompletionStage(loop.inspect(system::report)))
                .subscribe(this::update);
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        subscription.dispose();
    }

    /**
     * Stores a report and adds the gauges of new trainers.
     *
     * @param report The report.
     */
    private void update(SampleReport report) {
        latest = report;
        report.trainers().keySet().forEach(this::addGauges);
    }

    /**
     * Adds the gauges of a trainer unless they exist.
     *
     * @param trainer The trainer.
     */
    private void addGauges(TrainerName trainer) {
        gauge(trainer, "groups-driven", SampleReport.Trainer::driven);
        gauge(trainer, "groups-ready", SampleReport.Trainer::ready);
        gauge(trainer, "groups-handed-over", SampleReport.Trainer::handedOver);
        gauge(trainer, "samples-queued", SampleReport.Trainer::queued);
        gauge(trainer, "samples-generating", SampleReport.Trainer::generating);
        gauge(trainer, "samples-scoring", SampleReport.Trainer::scoring);
        gauge(trainer, "samples-handed-over", SampleReport.Trainer::samples);
        gauge(trainer, "samples-discarded", SampleMetrics::discarded);
        gauge(trainer, "tokens-accepted", SampleReport.Trainer::tokens);
        gauge(trainer, "tokens-discarded", SampleReport.Trainer::discardedTokens);
        gauge(trainer, "stragglers", SampleReport.Trainer::stragglers);
        gauge(trainer, "pull-wait-millis", SampleMetrics::waitMillis);
    }

    /**
     * Adds a gauge of a trainer unless it exists.
     *
     * @param trainer The trainer.
     * @param name The name of the gauge.
     * @param value Reads the value.
     */
    private void gauge(TrainerName trainer, String name, ToLongFunction<SampleReport.Trainer> value) {
        String metricName = MetricRegistry.name("samples", trainer.value(), name);
        registry.gauge(
                metricName,
                () -> (Gauge<Long>) () -> Optional.ofNullable(latest.trainers().get(trainer))
                        .map(value::applyAsLong)
                        .orElse(0L));
    }

    /**
     * Sums the discarded samples over all reasons.
     *
     * @param report The report.
     * @return The number of samples.
     */
    private static long discarded(SampleReport.Trainer report) {
        return report.discarded().values().stream().mapToLong(Long::longValue).sum();
    }

    /**
     * Sums the time that pulls waited over all causes.
     *
     * @param report The report.
     * @return The time in milliseconds.
     */
    private static long waitMillis(SampleReport.Trainer report) {
        return report.waiting().values().stream().mapToLong(Duration::toMillis).sum();
    }
}
