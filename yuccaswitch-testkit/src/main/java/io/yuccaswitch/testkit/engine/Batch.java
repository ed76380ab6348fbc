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

/** Generates for all active runs at once, one token each in an iteration, and lets the waiting ones in by priority. */
final class Batch implements AutoCloseable {

    /** The number of records that are kept. */
    private static final int KEPT_RECORDS = 200_000;

    /** The pause of an idle batch. */
    private static final long IDLE_NANOS = TimeUnit.MICROSECONDS.toNanos(500);

    /** The options of the engine. */
    private final EngineOptions options;

    /** The weight versions in use. */
    private final LoadedModels models;

    /** The faults that are ordered. */
    private final Supplier<Faults> faults;

    /** The runs that wait, the first in priority at the head. */
    private final PriorityQueue<Run> waiting = new PriorityQueue<>();

    /** The runs that are generated for. */
    private final List<Run> active = new ArrayList<>();

    /** The records of all runs, oldest first. */
    private final Deque<Run> records = new ArrayDeque<>();

    /** The thread that iterates. */
    private final Thread thread = new Thread(this::iterate, "batch");

    /** Whether the thread goes on. */
    private volatile boolean running = true;

    /**
     * Creates a batch and starts it.
     *
     * @param options The options of the engine.
     * @param models The weight versions in use.
     * @param faults The faults that are ordered.
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
     * @return {@code false} if too many wait already.
     */
    synchronized boolean add(Run run) {
        if (waiting.size() >= options.queueLength) {
            return false;
        }
        waiting.add(run);
        records.add(run);
        if (records.size() > KEPT_RECORDS) {
            records.remove();
        }
        return true;
    }

    /**
     * Finds a run.
     *
     * @param wireId The identifier that its request bore.
     * @return The run, or empty if there is none.
     */
    synchronized Optional<Run> find(String wireId) {
        return records.stream().filter(run -> run.wireId().equals(wireId)).reduce((_first, second) -> second);
    }

    /**
     * Returns the number of runs that are generated for.
     *
     * @return The number of active runs.
     */
    synchronized int activeCount() {
        return active.size();
    }

    /**
     * Returns the number of runs that wait.
     *
     * @return The number of waiting runs.
     */
    synchronized int waitingCount() {
        return waiting.size();
    }

    /**
     * Returns what was truly done.
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
            due = Math.max(due, System.nanoTime() - IDLE_NANOS) + (idle ? IDLE_NANOS : iterationNanos(size));
            LockSupport.parkNanos(due - System.nanoTime());
            if (!idle) {
                generate();
            }
        }
    }

    /**
     * Computes the time of an iteration.
     *
     * @param size The number of active runs.
     * @return The time in nanoseconds.
     */
    private long iterationNanos(int size) {
        long micros = options.iterationBaseMicros + options.iterationRequestMicros * size;
        return (long) (micros * options.timeScale * TimeUnit.MICROSECONDS.toNanos(1));
    }

    /**
     * Lets waiting runs in and the ended ones out.
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
     * @return {@code true} if the run is over.
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
