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

/** Creates callers and their HTTP clients. */
public final class CallerClients {

    /** The maximum time for establishing a connection. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

    /** The maximum number of idle connections. */
    private static final int MAXIMUM_IDLE_CONNECTIONS = 64;

    /** The time for which an idle connection is kept open, which is shorter than the validity of any address. */
    private static final long KEEP_ALIVE_MILLIS = 800;

    /** This class has no instances. */
    private CallerClients() {}

    /**
     * Creates a client that never retries on its own.
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
                .connectionPool(new ConnectionPool(MAXIMUM_IDLE_CONNECTIONS, KEEP_ALIVE_MILLIS, TimeUnit.MILLISECONDS))
                .build();
    }

    /**
     * Creates a caller.
     *
     * @param entryAddresses The entry addresses to query initially.
     * @param availabilityZone The availability zone of the caller.
     * @param token The bearer token of the caller, if any.
     * @param suffixPrefix A prefix that distinguishes the identifiers of this caller from those of others.
     * @param recorder The receiver of the record of each attempt.
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
