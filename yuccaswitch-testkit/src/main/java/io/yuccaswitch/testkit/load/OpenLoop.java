package io.yuccaswitch.testkit.load;

import io.yuccaswitch.testkit.check.Observation.CallerAttempt;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * An open-loop load generator: it sends each request when it is due, independently of the outcome of earlier requests.
 * Arrivals are a Poisson process of a fixed rate.
 *
 * @param mix The kinds of requests.
 * @param ratePerSecond The number of requests per second.
 * @param length The duration of the load.
 * @param seed The seed of the arrivals and the mix.
 * @param maximumInFlight The maximum number of requests in flight. Requests that are due beyond this limit are counted
 *     as not sent.
 */
public record OpenLoop(LoadMix mix, double ratePerSecond, Duration length, long seed, int maximumInFlight) {

    /** The time that requests in flight have for completion after the last arrival. */
    private static final long DRAIN_TIMEOUT_SECONDS = 120;

    /**
     * Runs the load.
     *
     * @param caller The function that executes one request and returns its last attempt.
     * @param stopped Returns {@code true} if the load must end early.
     * @return The results of the load.
     */
    public LoadReport run(Function<LoadMix.Kind, Optional<CallerAttempt>> caller, BooleanSupplier stopped) {
        Map<String, KindRecorder> recorders = new ConcurrentHashMap<>();
        mix.kinds().forEach(kind -> recorders.put(kind.name(), new KindRecorder()));
        Semaphore permits = new Semaphore(maximumInFlight);
        ExecutorService executor = Executors.newCachedThreadPool();
        long offered = 0;
        long notSent = 0;
        long start = System.nanoTime();
        try {
            Random random = new Random(seed);
            double dueNanos = 0;
            while (true) {
                dueNanos += -Math.log(1 - random.nextDouble()) / ratePerSecond * TimeUnit.SECONDS.toNanos(1);
                if (dueNanos >= length.toNanos() || stopped.getAsBoolean()) {
                    break;
                }
                LoadMix.Kind kind = mix.draw(random);
                long due = start + (long) dueNanos;
                waitUntil(due);
                offered++;
                if (!permits.tryAcquire()) {
                    notSent++;
                    continue;
                }
                executor.execute(() -> call(caller, kind, due, recorders.get(kind.name()), permits));
            }
        } finally {
            drain(executor);
        }
        double seconds = (System.nanoTime() - start) / (double) TimeUnit.SECONDS.toNanos(1);
        return new LoadReport(
                seconds,
                offered,
                notSent,
                recorders.entrySet().stream().collect(Collectors.toMap(Map.Entry::getKey, entry -> entry.getValue()
                        .report())));
    }

    /**
     * Executes one request and records its result.
     *
     * @param caller The function that executes the request.
     * @param kind The kind of the request.
     * @param due The time at which the request was due, on the monotonic clock.
     * @param recorder The recorder of the kind.
     * @param permits The permits for requests in flight.
     */
    private static void call(
            Function<LoadMix.Kind, Optional<CallerAttempt>> caller,
            LoadMix.Kind kind,
            long due,
            KindRecorder recorder,
            Semaphore permits) {
        try {
            Optional<CallerAttempt> last = caller.apply(kind);
            recorder.record(System.nanoTime() - due, last);
        } finally {
            permits.release();
        }
    }

    /**
     * Waits until a point in time.
     *
     * @param due The point in time, on the monotonic clock.
     */
    private static void waitUntil(long due) {
        for (long left = due - System.nanoTime(); left > 0; left = due - System.nanoTime()) {
            LockSupport.parkNanos(left);
        }
    }

    /**
     * Waits for the requests in flight.
     *
     * @param executor The executor of the requests.
     */
    private static void drain(ExecutorService executor) {
        executor.shutdown();
        try {
            if (!executor.awaitTermination(DRAIN_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                executor.shutdownNow();
            }
        } catch (InterruptedException _exception) {
            executor.shutdownNow();
            Thread.currentThread().interrupt();
        }
    }
}
