package io.yuccaswitch.node.gateway;

import io.reactivex.rxjava3.core.Observable;
import io.reactivex.rxjava3.disposables.Disposable;
import io.yuccaswitch.platform.PlatformClient;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;

/**
 * Logs the number of calls sent to the platform by purpose at regular intervals, because each call to the platform has
 * a cost.
 */
final class PlatformCallLog implements AutoCloseable {

    /** The interval of log lines, long enough to keep their load negligible. */
    private static final Duration LOG_INTERVAL = Duration.ofSeconds(10);

    /** The logger. */
    private static final Logger LOGGER = Logger.getLogger(PlatformCallLog.class);

    /** The client of the platform. */
    private final PlatformClient platform;

    /** The subscription of the timer. */
    private final Disposable timer;

    /** The counts in the last line. */
    private String last = "";

    /**
     * Creates a log and starts its timer.
     *
     * @param platform The client of the platform.
     */
    PlatformCallLog(PlatformClient platform) {
        this.platform = platform;
        timer = Observable.timer(LOG_INTERVAL.toMillis(), TimeUnit.MILLISECONDS).subscribe(_number -> write());
    }

    @Override
    public void close() {
        timer.dispose();
    }

    /** Writes a line if calls were sent since the last one. */
    private void write() {
        String counts = platform.sentCalls().entrySet().stream()
                .map(entry -> entry.getKey().name().toLowerCase(Locale.ROOT) + "=" + entry.getValue())
                .collect(Collectors.joining(" "));
        if (!counts.equals(last)) {
            last = counts;
            LOGGER.infof("event=platform-calls %s", counts);
        }
    }
}
