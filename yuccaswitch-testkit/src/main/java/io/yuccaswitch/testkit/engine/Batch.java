package io.yuccaswitch.testkit.engine;

import io.yuccaswitch.testkit.http.Fault;
import io.yuccaswitch.testkit.http.Faults;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;

/** Generates one token for each active run in every iteration, and admits waiting runs by priority. */
final class Batch implements AutoCloseable {

    /** The maximum number of retained records. */
    private static final int MAXIMUM_RECORDS = 200_000;

    /** The interval at which an idle batch checks for work. */
    private static final long IDLE_INTERVAL_NANOS = TimeUnit.MICROSECONDS.toNanos(500);

    /** The options of the engine. */
    private final EngineOptions options;

    /** The weight versions in use. */
    private final LoadedModels models;

    /** The injected faults. */
    private final Supplier<Faults> faults;

    /** The waiting runs, ordered by priority. */
    private final PriorityQueue<Run> waiting = new PriorityQueue<>();

    /** The runs for which tokens are generated. */
    private final List<Run> active = new ArrayList<>();

    /** The records of all runs, oldest first. */
    private final Deque<Run> records = new ArrayDeque<>();

    /** The thread that executes the iterations. */
    private final Thread thread = new Thread(this::iterate, "batch");

    /** Whether the thread continues to iterate. */
    private volatile boolean running = true;

    /**
     * Creates a batch and starts it.
     *
     * @param options The options of the engine.
     * @param models The weight versions in use.
     * @param faults The injected faults.
     */
    Batch(EngineOptions options, LoadedModels models, Supplier<Faults> faults) {
        this.options = options;
        this.models = models;
        this.faults = faults;
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Adds a run.
     *
     * @param run The run.
     * @return {@code false} if the queue is full.
     */
    synchronized boolean add(Run run) {
        if (waiting.size() >= options.queueLength) {
            return false;
        }
        waiting.add(run);
        records.add(run);
        if (records.size() > MAXIMUM_RECORDS) {
            records.remove();
        }
        return true;
    }

    /**
     * Finds the latest run of a request.
     *
     * @param wireId The identifier that its request carried.
     * @return The run, or empty if there is none.
     */
    synchronized Optional<Run> find(String wireId) {
        return records.stream().filter(run -> run.wireId().equals(wireId)).reduce((_first, second) -> second);
    }

    /**
     * Returns the number of runs for which tokens are generated.
     *
     * @return The number of active runs.
     */
    synchronized int activeCount() {
        return active.size();
    }

    /**
     * Returns the number of waiting runs.
     *
     * @return The number of waiting runs.
     */
    synchronized int waitingCount() {
        return waiting.size();
    }

    /**
     * Returns the records of the work that was actually done.
     *
     * @return The records, oldest first.
     */
    synchronized List<RunRecord> records() {
        return records.stream().map(Run::record).toList();
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        running = false;
        thread.interrupt();
    }

    /** Iterates until the batch is closed. */
    private void iterate() {
        long due = System.nanoTime();
        while (running) {
            int size = admit();
            boolean idle = size == 0 || faults.get().on(Fault.FROZEN);
            due = Math.max(due, System.nanoTime() - IDLE_INTERVAL_NANOS)
                    + (idle ? IDLE_INTERVAL_NANOS : iterationNanos(size));
            LockSupport.parkNanos(due - System.nanoTime());
            if (!idle) {
                generate();
            }
        }
    }

    /**
     * Computes the duration of an iteration.
     *
     * @param size The number of active runs.
     * @return The duration in nanoseconds.
     */
    private long iterationNanos(int size) {
        long micros = options.iterationBaseMicros + options.iterationRequestMicros * size;
        return (long) (micros * options.timeScale * TimeUnit.MICROSECONDS.toNanos(1));
    }

    /**
     * Removes the ended runs, and admits waiting runs while capacity and token budget allow.
     *
     * @return The number of active runs.
     */
    private synchronized int admit() {
        waiting.removeIf(Run::cancelled);
        active.removeIf(this::ended);
        int held = active.stream().mapToInt(Run::heldTokens).sum();
        while (!waiting.isEmpty() && active.size() < options.capacity) {
            held += waiting.element().heldTokens();
            if (held > options.tokenBudget && !active.isEmpty()) {
                break;
            }
            active.add(waiting.remove());
        }
        return active.size();
    }

    /**
     * Ends a run that is complete or cancelled.
     *
     * @param run The run.
     * @return {@code true} if the run has ended.
     */
    private boolean ended(Run run) {
        if (!run.complete() && !run.cancelled()) {
            return false;
        }
        run.end();
        return true;
    }

    /** Generates one token for each active run. */
    private synchronized void generate() {
        for (Run run : active) {
            if (!run.cancelled()) {
                run.iterate(models.version(run.model()).orElse(0L));
            }
        }
    }
}
