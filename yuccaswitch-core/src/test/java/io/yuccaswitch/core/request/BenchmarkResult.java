package io.yuccaswitch.core.request;

import io.yuccaswitch.core.configuration.PriorityClass;
import java.util.ArrayList;
import java.util.List;

/** The outcomes of the requests that arrived in the measured time of a benchmark. */
final class BenchmarkResult {

    private final double seconds;
    private final List<Double> latencies = new ArrayList<>();
    private final List<Double> urgentLatencies = new ArrayList<>();
    private final List<Double> firstTokens = new ArrayList<>();
    private int requests;
    private int urgent;
    private int refused;
    private int failed;
    private int attempts;

    BenchmarkResult(double seconds) {
        this.seconds = seconds;
    }

    void recordArrival(PriorityClass priority) {
        requests++;
        urgent += priority == PriorityClass.URGENT ? 1 : 0;
    }

    void recordAttempt() {
        attempts++;
    }

    void recordAnswer(PriorityClass priority, double latency, double firstToken) {
        latencies.add(latency);
        firstTokens.add(firstToken);
        if (priority == PriorityClass.URGENT) {
            urgentLatencies.add(latency);
        }
    }

    void recordRefusal() {
        refused++;
    }

    void recordFailure() {
        failed++;
    }

    int requests() {
        return requests;
    }

    int attempts() {
        return attempts;
    }

    int refusedOrFailed() {
        return refused + failed;
    }

    double inTimePerSecond() {
        return latencies.size() / seconds;
    }

    double refusedPerSecond() {
        return refused / seconds;
    }

    double failedPerSecond() {
        return failed / seconds;
    }

    double urgentInTime() {
        return (double) urgentLatencies.size() / Math.max(1, urgent);
    }

    double meanLatency() {
        return latencies.stream().mapToDouble(Double::doubleValue).average().orElse(0);
    }

    double latency(int percentile) {
        return percentile(latencies, percentile);
    }

    double urgentLatency(int percentile) {
        return percentile(urgentLatencies, percentile);
    }

    double firstToken(int percentile) {
        return percentile(firstTokens, percentile);
    }

    private static double percentile(List<Double> values, int percentile) {
        List<Double> sorted = values.stream().sorted().toList();
        return sorted.isEmpty() ? 0 : sorted.get(Math.min(sorted.size() - 1, sorted.size() * percentile / 100));
    }
}
