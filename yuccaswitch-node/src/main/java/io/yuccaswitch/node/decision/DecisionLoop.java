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
 * Runs the decision core on one thread: a tick whenever events are queued, and otherwise at an interval that depends on
 * the state of the core. Subscribers of effects and decisions are called on that thread and must not block.
 */
public final class DecisionLoop implements EventSink, AutoCloseable {

    /** The maximum pause between two ticks while the core has timers that are due soon. */
    public static final Duration BUSY_INTERVAL = Duration.ofMillis(20);

    /**
     * The maximum pause between two ticks of an idle node. Events are processed at once with either interval, so it
     * only bounds the delay of timers, which on an idle node are in the range of hundreds of milliseconds.
     */
    public static final Duration IDLE_INTERVAL = Duration.ofMillis(100);

    /** The maximum number of events of one tick. */
    private static final int MAXIMUM_EVENTS_PER_TICK = 1024;

    /** The logger. */
    private static final Logger LOGGER = Logger.getLogger(DecisionLoop.class);

    /** The decision core, confined to the loop's thread. */
    private final DecisionCore core;

    /** Called when an invariant of the core is broken. */
    private final Runnable onBrokenInvariant;

    /** Supplies the maximum pause between two ticks. It is called on the loop's thread before each tick. */
    private final Supplier<Duration> maximumPause;

    /** Detects that the VM was suspended, confined to the loop's thread. */
    private final SuspensionDetector suspensions = new SuspensionDetector();

    /** The events that are queued for the next tick. */
    private final BlockingQueue<Queued> queue = new LinkedBlockingQueue<>();

    /** Observes ticks. */
    private final TickObserver observer;

    /** The effects of the core. */
    private final Subject<Effect> effects = PublishSubject.create();

    /** The decisions of the core. */
    private final Subject<Decision> decisions = PublishSubject.create();

    /** The thread of the loop. */
    private final Thread thread;

    /** Whether the loop continues. */
    private volatile boolean running = true;

    /**
     * Creates a loop with the interval of a busy core, without starting it.
     *
     * @param core The decision core to run.
     * @param onBrokenInvariant Called when a tick fails, which means that an invariant is broken.
     */
    public DecisionLoop(DecisionCore core, Runnable onBrokenInvariant) {
        this(core, onBrokenInvariant, () -> BUSY_INTERVAL, TickObserver.NoOp.INSTANCE);
    }

    /**
     * Creates a loop without starting it.
     *
     * @param core The decision core to run.
     * @param onBrokenInvariant Called when a tick fails, which means that an invariant is broken.
     * @param maximumPause Supplies the maximum pause between two ticks. It is called on the loop's thread before each
     *     tick.
     * @param observer Observes ticks.
     */
    public DecisionLoop(
            DecisionCore core, Runnable onBrokenInvariant, Supplier<Duration> maximumPause, TickObserver observer) {
        this.core = core;
        this.onBrokenInvariant = onBrokenInvariant;
        this.maximumPause = maximumPause;
        this.observer = observer;
        thread = new Thread(this::run, "decision-loop");
    }

    /** Starts the loop. All subscribers must be registered before. */
    public void start() {
        thread.start();
    }

    /** {@inheritDoc} */
    @Override
    public void accept(Event event) {
        queue.add(new Queued(event, System.nanoTime()));
    }

    /**
     * Reads the tables of the decision core between two ticks.
     *
     * @param reader The reader, which is called on the loop's thread and must not block or change anything.
     * @param <T> The type of the result.
     * @return The result, or a failure if the loop is closed before the reader is called.
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
     * Returns the current time by the clock of the decision core.
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

    /** Runs ticks until the loop is closed. */
    private void run() {
        try {
            while (running) {
                List<Queued> queued = awaitEvents();
                MonotonicTime tickStart = now();
                tick(tickStart, queued);
                if (!queued.isEmpty()) {
                    Duration waited = Duration.ofNanos(
                            tickStart.nanoseconds() - queued.get(0).queuedAt());
                    observer.onTick(waited, now().since(tickStart), queued.size());
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
     * Runs a tick.
     *
     * @param now The current time.
     * @param queued The events of the tick.
     */
    private void tick(MonotonicTime now, List<Queued> queued) {
        List<Event> events = new ArrayList<>(queued.size());
        suspensions.check(now, System.currentTimeMillis()).ifPresent(suspended -> {
            LOGGER.warnf("event=suspended millis=%d", suspended.gap().toMillis());
            events.add(suspended);
        });
        queued.forEach(waited -> events.add(waited.event()));
        publish(core.tick(now, events));
        runInspections(events);
    }

    /**
     * Runs the inspections among the events of a tick.
     *
     * @param events The events of the tick.
     */
    private static void runInspections(List<Event> events) {
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
     * Waits for events, at most for the maximum pause between two ticks.
     *
     * @return The events of the next tick, the oldest first, which may be none.
     * @throws InterruptedException If the loop is closed.
     */
    private List<Queued> awaitEvents() throws InterruptedException {
        List<Queued> events = new ArrayList<>();
        Queued first = queue.poll(maximumPause.get().toNanos(), TimeUnit.NANOSECONDS);
        if (first != null) {
            events.add(first);
            queue.drainTo(events, MAXIMUM_EVENTS_PER_TICK - 1);
        }
        return events;
    }

    /**
     * Publishes the result of a tick to the subscribers.
     *
     * @param result The result of the tick.
     */
    private void publish(TickResult result) {
        result.decisions().forEach(decisions::onNext);
        result.effects().forEach(effects::onNext);
    }

    /**
     * An event that is queued for a tick.
     *
     * @param event The event.
     * @param queuedAt When it was queued, by the monotonic clock in nanoseconds.
     */
    private record Queued(Event event, long queuedAt) {}

    /**
     * Requests that the loop calls a reader of the tables. No system of the core processes this event.
     *
     * @param reader The reader to call.
     */
    private record Inspection(Runnable reader) implements Event {}
}
