package io.yuccaswitch.core.request;

import io.yuccaswitch.core.configuration.LimitSettings;
import io.yuccaswitch.core.configuration.PoolSettings;
import io.yuccaswitch.core.configuration.RoutingPolicyKind;
import io.yuccaswitch.core.configuration.RoutingSettings;
import io.yuccaswitch.core.limit.ConcurrencyLimit;
import java.time.Duration;
import java.util.Locale;
import java.util.function.Function;

/**
 * Drives the true core of several nodes against a model of engines and prints the tables of docs/MEASUREMENTS.md. All
 * times are simulated, so the figures do not depend on the machine.
 */
final class RequestPathBenchmark {

    private static final double[] LAGS = {0, 0.5, 2};
    private static final double[] LOADS = {0.1, 0.5, 0.8, 1, 1.5, 2, 3};
    private static final LimitSettings LIMITS = new LimitSettings(8, 64, 256, Duration.ofSeconds(60));
    private static final LimitSettings UNLIMITED = new LimitSettings(4096, 4096, 65536, Duration.ofSeconds(60));

    private RequestPathBenchmark() {}

    public static void main(String[] arguments) {
        String only = arguments.length > 0 ? arguments[0] : "all";
        if (only.equals("all") || only.equals("routing")) {
            routing("eight equal engines at 0.8 of their peak", 1);
            routing("one of the eight engines 20x slower, at 0.6 of the peak", 20);
        }
        if (only.equals("all") || only.equals("limits")) {
            goodput("limits on (additive increase)", LIMITS, RequestPathBenchmark::additive, Duration.ofSeconds(20));
            goodput("limits on (gradient)", LIMITS, RequestPathBenchmark::gradient, Duration.ofSeconds(20));
            goodput("limits on (fixed at 8)", LIMITS, RequestPathBenchmark::fixed, Duration.ofSeconds(20));
            goodput("limits off", UNLIMITED, RequestPathBenchmark::fixed, Duration.ofSeconds(20));
        }
        if (only.equals("all") || only.equals("outage")) {
            outage();
        }
    }

    private static void routing(String title, double slowdown) {
        print("%n### %s%n%n", title);
        print("| policy | report lag s | mean s | p50 s | p99 s | first token p50 s | first token p99 s | failed |%n");
        print("|---|---|---|---|---|---|---|---|%n");
        for (RoutingPolicyKind policy : RoutingPolicyKind.values()) {
            for (double lag : LAGS) {
                BenchmarkSite site =
                        new BenchmarkSite(pool(policy, LIMITS), RequestPathBenchmark::additive, slowdown, lag, 1);
                BenchmarkResult result = site.run(slowdown > 1 ? 0.6 : 0.8, Duration.ofSeconds(60), 120);
                print(
                        "| %s | %.1f | %.2f | %.2f | %.2f | %.3f | %.3f | %d |%n",
                        policy.name().toLowerCase(Locale.ROOT).replace('_', '-'),
                        lag,
                        result.meanLatency(),
                        result.latency(50),
                        result.latency(99),
                        result.firstToken(50),
                        result.firstToken(99),
                        result.failed());
            }
        }
    }

    private static void goodput(
            String title, LimitSettings limits, Function<LimitSettings, ConcurrencyLimit> factory, Duration deadline) {
        print("%n### Goodput, %s%n%n", title);
        print("| load | in time /s | refused /s | late or failed /s | p99 s | urgent p99 s | urgent in time |%n");
        print("|---|---|---|---|---|---|---|%n");
        for (double load : LOADS) {
            BenchmarkSite site =
                    new BenchmarkSite(pool(RoutingPolicyKind.POWER_OF_TWO_CHOICES, limits), factory, 1, 0.5, 1);
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
        BenchmarkSite site = new BenchmarkSite(
                pool(RoutingPolicyKind.POWER_OF_TWO_CHOICES, LIMITS), RequestPathBenchmark::additive, 1, 0.5, 1);
        site.fail();
        BenchmarkResult result = site.run(0.8, Duration.ofSeconds(20), 120);
        print(
                "requests %d, attempts %d, amplification %.3f%n",
                result.requests(), result.attempts(), (double) result.attempts() / result.requests());
    }

    private static ConcurrencyLimit additive(LimitSettings settings) {
        return new ConcurrencyLimit.AdditiveIncrease(settings.initialConcurrency(), settings.maximumConcurrency());
    }

    private static ConcurrencyLimit gradient(LimitSettings settings) {
        return new ConcurrencyLimit.Gradient(settings.initialConcurrency(), settings.maximumConcurrency());
    }

    private static ConcurrencyLimit fixed(LimitSettings settings) {
        return new ConcurrencyLimit.Fixed(settings.initialConcurrency());
    }

    private static PoolSettings pool(RoutingPolicyKind policy, LimitSettings limits) {
        return TestConfigurations.pool(
                BenchmarkSite.ENGINES,
                false,
                new RoutingSettings(policy, 16, Duration.ofMillis(500), Duration.ofSeconds(5), 0.5),
                limits,
                TestConfigurations.RETRY);
    }

    @SuppressWarnings("SystemOut")
    private static void print(String format, Object... values) {
        System.out.printf(Locale.ROOT, format, values);
    }
}
