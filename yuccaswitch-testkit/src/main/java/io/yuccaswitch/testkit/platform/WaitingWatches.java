package io.yuccaswitch.testkit.platform;

import java.time.Duration;
import java.util.Optional;
import java.util.Queue;
import java.util.Timer;
import java.util.TimerTask;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.LongSupplier;

/** The watches that wait for changes, looked over at a short interval. */
final class WaitingWatches implements AutoCloseable {

    /** The interval at which waiting watches are looked over. */
    private static final Duration INTERVAL = Duration.ofMillis(5);

    /** The objects that are watched. */
    private final VersionedObjects objects;

    /** The faults that are in force. */
    private final PlatformFaults faults;

    /** The monotonic clock in nanoseconds. */
    private final LongSupplier clock;

    /** The watches that wait. */
    private final Queue<Watch> waiting = new ConcurrentLinkedQueue<>();

    /** The thread that looks over the watches. */
    private final Timer timer = new Timer("platform-watches", true);

    /**
     * Creates an empty set of watches.
     *
     * @param objects The objects that are watched.
     * @param faults The faults that are in force.
     * @param clock The monotonic clock in nanoseconds.
     */
    WaitingWatches(VersionedObjects objects, PlatformFaults faults, LongSupplier clock) {
        this.objects = objects;
        this.faults = faults;
        this.clock = clock;
        TimerTask task = new TimerTask() {
            @Override
            public void run() {
                waiting.removeIf(WaitingWatches.this::settle);
            }
        };
        timer.schedule(task, INTERVAL.toMillis(), INTERVAL.toMillis());
    }

    /**
     * Adds a watch.
     *
     * @param kind The kind to watch.
     * @param after The version after which changes count.
     * @param wait The longest wait.
     * @return The answer, once there are changes or the wait is over.
     */
    CompletableFuture<Answer> add(String kind, long after, Duration wait) {
        Watch watch = new Watch(kind, after, clock.getAsLong() + wait.toNanos(), new CompletableFuture<>());
        if (!settle(watch)) {
            waiting.add(watch);
        }
        return watch.answer();
    }

    /**
     * Answers a watch if it need not wait any longer. During a silent outage it is forgotten.
     *
     * @param watch The watch.
     * @return {@code true} if the watch no longer waits.
     */
    private boolean settle(Watch watch) {
        if (faults.outage() != Outage.NONE) {
            outageAnswer().ifPresent(watch.answer()::complete);
            return true;
        }
        Changes changes = objects.changes(watch.kind(), watch.after(), faults.replicaLag());
        boolean over = watch.endsAt() - clock.getAsLong() <= 0;
        if (!over && !changes.reset() && changes.revisions().isEmpty()) {
            return false;
        }
        watch.answer().complete(Answer.listed(changes));
        return true;
    }

    /**
     * Returns what a watch is answered in an outage.
     *
     * @return The answer, or empty if there is none.
     */
    private Optional<Answer> outageAnswer() {
        return faults.outage() == Outage.ERROR ? Optional.of(Answer.empty(Answer.UNAVAILABLE)) : Optional.empty();
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        timer.cancel();
    }

    /**
     * A watch that waits.
     *
     * @param kind The kind to watch.
     * @param after The version after which changes count.
     * @param endsAt The time at which the wait is over, in nanoseconds of the monotonic clock.
     * @param answer The answer to come.
     */
    private record Watch(String kind, long after, long endsAt, CompletableFuture<Answer> answer) {}
}
