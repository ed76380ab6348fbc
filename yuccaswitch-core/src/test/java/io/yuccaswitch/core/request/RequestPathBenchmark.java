package io.yuccaswitch.core.request;

import io.yuccaswitch.core.configuration.LimitSettings;
import io.yuccaswitch.core.configuration.PoolSettings;
import io.yuccaswitch.core.configuration.RoutingPolicyKind;
import io.yuccaswitch.core.configuration.RoutingSettings;
import io.yuccaswitch.core.limit.ConcurrencyLimit;
import io.yuccaswitch.core.request.BenchmarkSite.Endpoints;
import java.time.Duration;
import java.util.Locale;
import java.util.function.Function;
import org.junit.jupiter.api.Test;

/**
 * Runs the real decision cores of several nodes against a model of endpoints and prints the tables of
 * docs/MEASUREMENTS.md. All times are simulated, so the results do not depend on the speed of the VM.
 */
final class RequestPathBenchmark {

    private static final double[] REPORT_LAGS_SECONDS = {0, 0.5, 2};
    private static final double[] LOADS = {0.1, 0.5, 0.8, 1, 1.5, 2, 3};
    private static final int NODES = 7;
    private static final LimitSettings LIMITS = new LimitSettings(8, 64, 256, Duration.ofSeconds(60));
    private static final LimitSettings UNLIMITED = new LimitSettings(4096, 4096, 65536, Duration.ofSeconds(60));

    @Test
    void printsTheRoutingPoliciesSideBySide() {
        routing("7 nodes, 8 equal engines at 0.8 of their peak", NODES, 1, 0.8);
        routing("7 nodes, one of 8 engines 20x slower, at 0.6 of the peak", NODES, 20, 0.6);
        routing("56 nodes, 8 equal engines at 0.8 of their peak", 8 * NODES, 1, 0.8);
    }

    @Test
    void printsTheGoodputWithAndWithoutLimits() {
        goodputs("4 plain services, deadline 1 s", Endpoints.SERVICES, Duration.ofSeconds(1));
        goodputs("8 engines, deadline 60 s", Endpoints.ENGINES, Duration.ofSeconds(60));
    }

    @Test
    void printsTheAmplificationOfAFullOutage() {
        outage();
    }

    private static void routing(String title, int nodes, double slowdown, double load) {
        print("%n### Routing: %s%n%n", title);
        print("| policy | report lag s | mean s | p50 s | p99 s | first token p50 s | first token p99 s | failed |%n");
        print("|---|---|---|---|---|---|---|---|%n");
        for (RoutingPolicyKind policy : RoutingPolicyKind.values()) {
            for (double reportLagSeconds : REPORT_LAGS_SECONDS) {
                BenchmarkSite site = new BenchmarkSite(
                        pool(Endpoints.ENGINES, policy, LIMITS),
                        RequestPathBenchmark::additive,
                        Endpoints.ENGINES,
                        nodes,
                        slowdown,
                        reportLagSeconds,
                        1);
                BenchmarkResult result = site.run(load, Duration.ofSeconds(60), 120);
                print(
                        "| %s | %.1f | %.2f | %.2f | %.2f | %.3f | %.3f | %d |%n",
                        policy.name().toLowerCase(Locale.ROOT).replace('_', '-'),
                        reportLagSeconds,
                        result.meanLatency(),
                        result.latency(50),
                        result.latency(99),
                        result.firstToken(50),
                        result.firstToken(99),
                        result.refusedOrFailed());
            }
        }
    }

    private static void goodputs(String kind, Endpoints endpoints, Duration deadline) {
        goodput(kind + ", additive increase", endpoints, LIMITS, RequestPathBenchmark::additive, deadline);
        goodput(kind + ", gradient", endpoints, LIMITS, RequestPathBenchmark::gradient, deadline);
        goodput(kind + ", fixed at 8", endpoints, LIMITS, RequestPathBenchmark::fixed, deadline);
        goodput(kind + ", limits off", endpoints, UNLIMITED, RequestPathBenchmark::fixed, deadline);
    }

    private static void goodput(
            String title,
            Endpoints endpoints,
            LimitSettings limits,
            Function<PoolSettings, ConcurrencyLimit> factory,
            Duration deadline) {
        print("%n### Goodput: %s%n%n", title);
        print("| load | in time /s | refused /s | late or failed /s | p99 s | urgent p99 s | urgent in time |%n");
        print("|---|---|---|---|---|---|---|%n");
        for (double load : LOADS) {
            PoolSettings pool = pool(endpoints, RoutingPolicyKind.ITERATION_TIME_ESTIMATE, limits);
            BenchmarkSite site = new BenchmarkSite(pool, factory, endpoints, NODES, 1, 0.5, 1);
            BenchmarkResult result = site.run(load, deadline, 120);
            print(
                    "| %.1f | %.1f | %.1f | %.1f | %.2f | %.2f | %.1f%% |%n",
                    load,
                    result.inTimePerSecond(),
                    result.refusedPerSecond(),
                    result.failedPerSecond(),
                    result.latency(99),
                    result.urgentLatency(99),
                    100 * result.urgentInTime());
        }
    }

    private static void outage() {
        print("%n### Full outage of the endpoints%n%n");
        PoolSettings pool = pool(Endpoints.SERVICES, RoutingPolicyKind.ITERATION_TIME_ESTIMATE, LIMITS);
        BenchmarkSite site =
                new BenchmarkSite(pool, RequestPathBenchmark::additive, Endpoints.SERVICES, NODES, 1, 0.5, 1);
        site.refuseConnections();
        BenchmarkResult result = site.run(0.8, Duration.ofSeconds(20), 120);
        double amplification = (double) result.attempts() / result.requests();
        print("%d requests, %d attempts: %.3f%n", result.requests(), result.attempts(), amplification);
    }

    private static PoolSettings pool(Endpoints endpoints, RoutingPolicyKind policy, LimitSettings limits) {
        return TestConfigurations.pool(
                endpoints.kind(),
                endpoints.count(),
                false,
                new RoutingSettings(policy, 16, Duration.ofMillis(500), Duration.ofSeconds(5), 0.5),
                limits,
                TestConfigurations.RETRY);
    }

    private static ConcurrencyLimit additive(PoolSettings pool) {
        return RequestSystem.additiveIncrease(pool);
    }

    private static ConcurrencyLimit gradient(PoolSettings pool) {
        LimitSettings limits = pool.limits();
        return new ConcurrencyLimit.Gradient(limits.initialConcurrency(), limits.maximumConcurrency());
    }

    private static ConcurrencyLimit fixed(PoolSettings pool) {
        return new ConcurrencyLimit.Fixed(pool.limits().initialConcurrency());
    }

    @SuppressWarnings("SystemOut")
    private static void print(String format, Object... values) {
        System.out.printf(Locale.ROOT, format, values);
    }
}
