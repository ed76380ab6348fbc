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

/**
 * Counts the requests that start to run, by account and window, and reports changed counts to the core in one event.
 */
final class UsageMeter implements AutoCloseable {

    /**
     * The delay between a change and its report to the core. It bounds the counts that are lost when a node is killed.
     */
    private static final Duration REPORT_DELAY = Duration.ofMillis(700);

    /** The windows. */
    private final UsageWindows windows;

    /** Supplies the time of day. */
    private final LongSupplier timeOfDay;

    /** The core. */
    private final EventSink events;

    /** The counts by window and account. Guarded by this object's monitor. */
    private final TreeMap<Long, Map<String, Long>> counts = new TreeMap<>();

    /** The counts that changed since the last report. Guarded by this object's monitor. */
    private final Map<Long, Map<String, Long>> changed = new HashMap<>();

    /**
     * The scheduled report, if counts have changed, so that an idle gateway runs no timer for it. Guarded by this
     * object's monitor.
     */
    private Disposable pendingReport = Disposable.disposed();

    /**
     * Creates a meter without counts.
     *
     * @param windows The windows.
     * @param timeOfDay Supplies the time of day, in milliseconds since the epoch.
     * @param events The core.
     */
    UsageMeter(UsageWindows windows, LongSupplier timeOfDay, EventSink events) {
        this.windows = windows;
        this.timeOfDay = timeOfDay;
        this.events = events;
    }

    @Override
    public synchronized void close() {
        pendingReport.dispose();
    }

    /**
     * Returns the current time, by which requests are counted.
     *
     * @return The time of day in milliseconds since the epoch.
     */
    long now() {
        return timeOfDay.getAsLong();
    }

    /**
     * Counts a request.
     *
     * @param account The account of the request, if any.
     * @param begunAt When it started to run, in milliseconds since the epoch.
     */
    synchronized void count(Optional<AccountName> account, long begunAt) {
        account.ifPresent(name -> {
            if (changed.isEmpty()) {
                pendingReport = Schedulers.computation()
                        .scheduleDirect(this::report, REPORT_DELAY.toMillis(), TimeUnit.MILLISECONDS);
            }
            long window = windows.windowAt(begunAt);
            long count =
                    counts.computeIfAbsent(window, _window -> new HashMap<>()).merge(name.value(), 1L, Long::sum);
            changed.computeIfAbsent(window, _window -> new HashMap<>()).put(name.value(), count);
        });
    }

    /** Reports the changed counts to the core. */
    private synchronized void report() {
        if (changed.isEmpty()) {
            return;
        }
        events.accept(new UsageEvent.Counted(Map.copyOf(changed)));
        changed.clear();
        counts.headMap(windows.oldestRetained(now())).clear();
    }
}
