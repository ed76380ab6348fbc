package io.yuccaswitch.testkit.load;

import io.yuccaswitch.testkit.check.Observation.CallerAttempt;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.OkHttpClient;

/** Creates callers. */
public final class CallerClients {

    /** The time within which a connection must stand. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

    /** The number of idle connections that are kept. */
    private static final int IDLE_CONNECTIONS = 64;

    /** The time for which an idle connection is kept, shorter than any validity of an address. */
    private static final long KEEP_ALIVE_MILLIS = 800;

    /** This class has no instances. */
    private CallerClients() {}

    /**
     * Creates a client that never sends anything twice on its own.
     *
     * @return The client.
     */
    public static OkHttpClient httpClient() {
        Dispatcher dispatcher = new Dispatcher();
        return new OkHttpClient.Builder()
                .dispatcher(dispatcher)
                .retryOnConnectionFailure(false)
                .followRedirects(false)
                .connectTimeout(CONNECT_TIMEOUT)
                .readTimeout(Duration.ZERO)
                .connectionPool(new ConnectionPool(IDLE_CONNECTIONS, KEEP_ALIVE_MILLIS, TimeUnit.MILLISECONDS))
                .build();
    }

    /**
     * Creates a caller.
     *
     * @param entryAddresses The entry addresses to ask first.
     * @param availabilityZone The availability zone of the caller.
     * @param token The bearer token of the caller, or empty.
     * @param suffixPrefix A text that tells this caller's identifiers from those of others.
     * @param recorder Takes the record of each attempt.
     * @return The caller.
     */
    public static CallerClient create(
            List<String> entryAddresses,
            String availabilityZone,
            Optional<String> token,
            String suffixPrefix,
            Consumer<CallerAttempt> recorder) {
        OkHttpClient client = httpClient();
        EntryDirectory directory = new EntryDirectory(client, entryAddresses, availabilityZone, token);
        AtomicLong counter = new AtomicLong();
        return new CallerClient(
                client, directory, token, () -> suffixPrefix + "-" + counter.incrementAndGet(), recorder);
    }
}
