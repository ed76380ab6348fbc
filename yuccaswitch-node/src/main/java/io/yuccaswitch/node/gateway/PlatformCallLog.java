package io.yuccaswitch.node.gateway;

import io.reactivex.rxjava3.core.Observable;
import io.reactivex.rxjava3.disposables.Disposable;
import io.yuccaswitch.platform.PlatformClient;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;

/** Writes now and then how many calls to the platform were sent, by purpose, as each call has a price. */
final class PlatformCallLog implements AutoCloseable {

    /** The interval of the lines, rare enough to cost nothing. */
    private static final Duration INTERVAL = Duration.ofSeconds(10);

    /** The logger. */
    private static final Logger LOGGER = Logger.getLogger(PlatformCallLog.class);

    /** The client of the platform. */
    private final PlatformClient platform;

    /** The interval's subscription. */
    private final Disposable interval;

    /** What the last line said. */
    private String last = "";

    /**
     * Begins to write.
     *
     * @param platform The client of the platform.
     */
    PlatformCallLog(PlatformClient platform) {
        this.platform = platform;
        interval =
                Observable.interval(INTERVAL.toMillis(), TimeUnit.MILLISECONDS).subscribe(_number -> write());
    }

    @Override
    public void close() {
        interval.dispose();
    }

    /** Writes a line if there were calls since the last one. */
    private void write() {
        String numbers = platform.sentCalls().entrySet().stream()
                .map(entry -> entry.getKey().name().toLowerCase(Locale.ROOT) + "=" + entry.getValue())
                .collect(Collectors.joining(" "));
        if (!numbers.equals(last)) {
            last = numbers;
            LOGGER.infof("event=platform-calls %s", numbers);
        }
    }
}
