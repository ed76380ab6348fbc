package io.yuccaswitch.node.gateway;

import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.schedulers.Schedulers;
import io.yuccaswitch.core.account.AccountName;
import io.yuccaswitch.core.usage.UsageEvent;
import io.yuccaswitch.core.usage.UsageWindows;
import io.yuccaswitch.node.decision.EventSink;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** Counts the requests that begin to run, by account and window, and tells the core in one event what has grown. */
final class UsageMeter implements AutoCloseable {

    /** How long after something has grown the core is told: what a killed node takes out of a report at most. */
    private static final Duration INTERVAL = Duration.ofMillis(700);

    /** The windows. */
    private final UsageWindows windows;

    /** Tells the time of day. */
    private final LongSupplier timeOfDay;

    /** The core. */
    private final EventSink events;

    /** The counts by account by window. It is guarded by this object. */
    private final TreeMap<Long, Map<String, Long>> counts = new TreeMap<>();

    /** The counts that have grown since the core was told. It is guarded by this object. */
    private final Map<Long, Map<String, Long>> grown = new HashMap<>();

    /**
     * Tells the core soon, if something has grown: an idle gateway has no timer for it. It is guarded by this object.
     */
    private Disposable telling = Disposable.disposed();

    /**
     * Creates a meter that has counted nothing.
     *
     * @param windows The windows.
     * @param timeOfDay Tells the time of day, in milliseconds since the epoch.
     * @param events The core.
     */
    UsageMeter(UsageWindows windows, LongSupplier timeOfDay, EventSink events) {
        this.windows = windows;
        this.timeOfDay = timeOfDay;
        this.events = events;
    }

    @Override
    public synchronized void close() {
        telling.dispose();
    }

    /**
     * Returns the present, as requests are counted by it.
     *
     * @return The time of day in milliseconds since the epoch.
     */
    long now() {
        return timeOfDay.getAsLong();
    }

    /**
     * Counts a request.
     *
     * @param account The account, if the request is of one.
     * @param begunAt When it began to run, in milliseconds since the epoch.
     */
    synchronized void count(Optional<AccountName> account, long begunAt) {
        account.ifPresent(name -> {
            if (grown.isEmpty()) {
                telling =
                        Schedulers.computation().scheduleDirect(this::tell, INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
            }
            long window = windows.at(begunAt);
            long count =
                    counts.computeIfAbsent(window, _window -> new HashMap<>()).merge(name.value(), 1L, Long::sum);
            grown.computeIfAbsent(window, _window -> new HashMap<>()).put(name.value(), count);
        });
    }

    /** Tells the core what has grown. */
    private synchronized void tell() {
        if (grown.isEmpty()) {
            return;
        }
        events.accept(new UsageEvent.Counted(Map.copyOf(grown)));
        grown.clear();
        counts.headMap(windows.oldestKept(now())).clear();
    }
}
