package io.yuccaswitch.testkit.platform;

import java.time.Duration;
import java.util.Optional;
import java.util.Queue;
import java.util.Timer;
import java.util.TimerTask;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.LongSupplier;

/** The pending watches, which are checked for completion at a short interval. */
final class PendingWatches implements AutoCloseable {

    /** The interval at which pending watches are checked. */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(5);

    /** The objects that are watched. */
    private final VersionedObjects objects;

    /** The active faults. */
    private final PlatformFaults faults;

    /** The monotonic clock in nanoseconds. */
    private final LongSupplier clock;

    /** The pending watches. */
    private final Queue<Watch> waiting = new ConcurrentLinkedQueue<>();

    /** The timer that checks the watches. */
    private final Timer timer = new Timer("platform-watches", true);

    /**
     * Creates an empty set of watches.
     *
     * @param objects The objects that are watched.
     * @param faults The active faults.
     * @param clock The monotonic clock in nanoseconds.
     */
    PendingWatches(VersionedObjects objects, PlatformFaults faults, LongSupplier clock) {
        this.objects = objects;
        this.faults = faults;
        this.clock = clock;
        TimerTask task = new TimerTask() {
            @Override
            public void run() {
                waiting.removeIf(PendingWatches.this::completeIfDue);
            }
        };
        timer.schedule(task, CHECK_INTERVAL.toMillis(), CHECK_INTERVAL.toMillis());
    }

    /**
     * Adds a watch.
     *
     * @param kind The kind to watch.
     * @param after The version after which changes are returned.
     * @param wait The maximum wait.
     * @return The answer, which completes when there are changes or the wait has ended.
     */
    CompletableFuture<Answer> add(String kind, long after, Duration wait) {
        Watch watch = new Watch(kind, after, clock.getAsLong() + wait.toNanos(), new CompletableFuture<>());
        if (!completeIfDue(watch)) {
            waiting.add(watch);
        }
        return watch.answer();
    }

    /**
     * Completes a watch if there are changes, its wait has ended or there is an outage. A watch during a silent outage
     * is dropped without an answer.
     *
     * @param watch The watch.
     * @return {@code true} if the watch is no longer pending.
     */
    private boolean completeIfDue(Watch watch) {
        if (faults.outage() != Outage.NONE) {
            outageAnswer().ifPresent(watch.answer()::complete);
            return true;
        }
        Changes changes = objects.changes(watch.kind(), watch.after(), faults.replicaLag());
        boolean expired = watch.endsAt() - clock.getAsLong() <= 0;
        if (!expired && !changes.reset() && changes.revisions().isEmpty()) {
            return false;
        }
        watch.answer().complete(Answer.listed(changes));
        return true;
    }

    /**
     * Returns the answer to a watch during an outage.
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
     * A pending watch.
     *
     * @param kind The kind to watch.
     * @param after The version after which changes are returned.
     * @param endsAt The time at which the wait ends, in nanoseconds of the monotonic clock.
     * @param answer The future answer.
     */
    private record Watch(String kind, long after, long endsAt, CompletableFuture<Answer> answer) {}
}
