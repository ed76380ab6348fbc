package io.yuccaswitch.node.decision;

import io.reactivex.rxjava3.core.Observable;
import io.reactivex.rxjava3.subjects.PublishSubject;
import io.reactivex.rxjava3.subjects.Subject;
import io.yuccaswitch.core.decision.Decision;
import io.yuccaswitch.core.decision.DecisionCore;
import io.yuccaswitch.core.decision.Effect;
import io.yuccaswitch.core.decision.Event;
import io.yuccaswitch.core.decision.TickResult;
import io.yuccaswitch.core.suspension.SuspensionDetector;
import io.yuccaswitch.core.time.MonotonicTime;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jboss.logging.Logger;

/**
 * Runs the decision core on one thread: a tick whenever events are waiting, and otherwise at an interval that follows
 * from what the core does. Subscribers of effects and decisions are called on that thread and must not block.
 */
public final class DecisionLoop implements EventSink, AutoCloseable {

    /** The longest pause between two ticks while the core follows something that waits for a moment in time. */
    public static final Duration BUSY_INTERVAL = Duration.ofMillis(20);

    /**
     * The longest pause between two ticks otherwise. Events are taken at once at either pace, so it bounds only how
     * late a timer is seen, and timers of an idle node count in hundreds of milliseconds.
     */
    public static final Duration IDLE_INTERVAL = Duration.ofMillis(100);

    /** The largest number of events of one tick. */
    private static final int EVENTS_PER_TICK = 1024;

    /** The logger. */
    private static final Logger LOGGER = Logger.getLogger(DecisionLoop.class);

    /** The decision core, confined to the loop's thread. */
    private final DecisionCore core;

    /** What to do when an invariant of the core broke. */
    private final Runnable onBrokenInvariant;

    /** How long the pause between two ticks may be, asked on the loop's thread before each. */
    private final Supplier<Duration> pace;

    /** Finds out that the machine was suspended, confined to the loop's thread. */
    private final SuspensionDetector suspensions = new SuspensionDetector();

    /** The events that wait for the next tick. */
    private final BlockingQueue<Queued> waiting = new LinkedBlockingQueue<>();

    /** Takes note of ticks. */
    private final TickObserver observer;

    /** The effects that the core emitted. */
    private final Subject<Effect> effects = PublishSubject.create();

    /** The decisions that the core explained. */
    private final Subject<Decision> decisions = PublishSubject.create();

    /** The thread that ticks. */
    private final Thread thread;

    /** Whether the loop goes on. */
    private volatile boolean running = true;

    /**
     * Creates a new loop that does not run yet and ticks as often as a busy one.
     *
     * @param core The decision core to run.
     * @param onBrokenInvariant What to do when a tick fails, which means that an invariant is broken.
     */
    public DecisionLoop(DecisionCore core, Runnable onBrokenInvariant) {
        this(core, onBrokenInvariant, () -> BUSY_INTERVAL, TickObserver.NoOp.INSTANCE);
    }

    /**
     * Creates a new loop that does not run yet.
     *
     * @param core The decision core to run.
     * @param onBrokenInvariant What to do when a tick fails, which means that an invariant is broken.
     * @param pace How long the pause between two ticks may be, asked on the loop's thread before each.
     * @param observer Takes note of ticks.
     */
    public DecisionLoop(DecisionCore core, Runnable onBrokenInvariant, Supplier<Duration> pace, TickObserver observer) {
        this.core = core;
        this.onBrokenInvariant = onBrokenInvariant;
        this.pace = pace;
        this.observer = observer;
        thread = new Thread(this::run, "decision-loop");
    }

    /** Starts the loop, after all subscribers are there. */
    public void start() {
        thread.start();
    }

    /** {@inheritDoc} */
    @Override
    public void accept(Event event) {
        waiting.add(new Queued(event, System.nanoTime()));
    }

    /**
     * Reads the tables of the decision core between two ticks.
     *
     * @param reader The reader, which is called on the loop's thread and must not block or change anything.
     * @param <T> The type of the result.
     * @return The result, or a failure if the loop is closed before the reader was called.
     */
    public <T> CompletableFuture<T> inspect(Supplier<T> reader) {
        CompletableFuture<T> result = new CompletableFuture<>();
        accept(new Inspection(() -> complete(result, reader)));
        if (!running) {
            result.completeExceptionally(new IllegalStateException("The decision loop is closed"));
        }
        return result;
    }

    /**
     * Returns the effects of one type.
     *
     * @param type The type of the effects.
     * @param <T> The type of the effects.
     * @return The effects, on the loop's thread.
     */
    public <T extends Effect> Observable<T> effects(Class<T> type) {
        return effects.ofType(type);
    }

    /**
     * Returns the decisions.
     *
     * @return The decisions, on the loop's thread.
     */
    public Observable<Decision> decisions() {
        return decisions;
    }

    /**
     * Returns the current time as the decision core counts it.
     *
     * @return The current monotonic time.
     */
    public static MonotonicTime now() {
        return new MonotonicTime(System.nanoTime());
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        running = false;
        thread.interrupt();
    }

    /** Ticks until the loop is closed. */
    private void run() {
        try {
            while (running) {
                List<Queued> queued = awaitEvents();
                MonotonicTime begun = now();
                tick(begun, queued);
                if (!queued.isEmpty()) {
                    Duration waited =
                            Duration.ofNanos(begun.nanoseconds() - queued.get(0).since());
                    observer.ticked(waited, now().since(begun), queued.size());
                }
            }
        } catch (InterruptedException _exception) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException exception) {
            LOGGER.fatal("event=broken-invariant", exception);
            onBrokenInvariant.run();
        }
    }

    /**
     * Makes a tick.
     *
     * @param now The present.
     * @param queued The events of the tick.
     */
    private void tick(MonotonicTime now, List<Queued> queued) {
        List<Event> events = new ArrayList<>(queued.size());
        suspensions.look(now, System.currentTimeMillis()).ifPresent(suspended -> {
            LOGGER.warnf("event=suspended millis=%d", suspended.gap().toMillis());
            events.add(suspended);
        });
        queued.forEach(waited -> events.add(waited.event()));
        publish(core.tick(now, events));
        inspectAll(events);
    }

    /**
     * Calls the readers among the events of a tick.
     *
     * @param events The events of the tick.
     */
    private static void inspectAll(List<Event> events) {
        for (Event event : events) {
            if (event instanceof Inspection inspection) {
                inspection.reader().run();
            }
        }
    }

    /**
     * Completes a future with the result of a reader.
     *
     * @param result The future to complete.
     * @param reader The reader to call.
     * @param <T> The type of the result.
     */
    private static <T> void complete(CompletableFuture<T> result, Supplier<T> reader) {
        try {
            result.complete(reader.get());
        } catch (RuntimeException exception) {
            result.completeExceptionally(exception);
        }
    }

    /**
     * Waits for events, at most for the longest pause between two ticks.
     *
     * @return The events of the next tick, the oldest first, which may be none.
     * @throws InterruptedException If the loop is closed.
     */
    private List<Queued> awaitEvents() throws InterruptedException {
        List<Queued> events = new ArrayList<>();
        Queued first = waiting.poll(pace.get().toNanos(), TimeUnit.NANOSECONDS);
        if (first != null) {
            events.add(first);
            waiting.drainTo(events, EVENTS_PER_TICK - 1);
        }
        return events;
    }

    /**
     * Hands the result of a tick to the subscribers.
     *
     * @param result The result of the tick.
     */
    private void publish(TickResult result) {
        result.decisions().forEach(decisions::onNext);
        result.effects().forEach(effects::onNext);
    }

    /**
     * An event that waits for a tick.
     *
     * @param event The event.
     * @param since Since when it waits, by the monotonic clock in nanoseconds.
     */
    private record Queued(Event event, long since) {}

    /**
     * Asks the loop to call a reader of the tables. No system of the core looks at this event.
     *
     * @param reader The reader to call.
     */
    private record Inspection(Runnable reader) implements Event {}
}
