package io.yuccaswitch.testkit.weightstore;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.http.Context;
import io.yuccaswitch.testkit.http.Answer;
import io.yuccaswitch.testkit.http.Fault;
import io.yuccaswitch.testkit.http.Faults;
import io.yuccaswitch.testkit.http.Json;
import io.yuccaswitch.testkit.http.StandInServer;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/**
 * A stand-in for the weight store, which limits the total rate of all readers. Its protocol is described in
 * docs/API.md.
 */
public final class WeightStoreStandIn implements AutoCloseable {

    /** The status of an answer. */
    private static final int OK = 200;

    /** The status of a refusal. */
    private static final int UNAVAILABLE = 503;

    /** The size of the chunks in which an answer is written. */
    private static final int CHUNK_BYTES = 16_384;

    /** The options. */
    private final WeightStoreOptions options;

    /** The number of loads by location. */
    private final Map<String, Integer> loads = new ConcurrentHashMap<>();

    /** The number of loads in progress. */
    private final AtomicInteger concurrent = new AtomicInteger();

    /** The maximum number of concurrent loads observed so far. */
    private final AtomicInteger highestConcurrent = new AtomicInteger();

    /** The time in nanoseconds at which the rate limit permits the next chunk. */
    private long nextChunkAt = System.nanoTime();

    /** The server. */
    private final StandInServer server;

    /**
     * Creates and starts a weight store.
     *
     * @param options The options.
     */
    public WeightStoreStandIn(WeightStoreOptions options) {
        this.options = options;
        server = new StandInServer(options.port, this::addRoutes);
    }

    /**
     * Returns the server of this store.
     *
     * @return The server.
     */
    public StandInServer server() {
        return server;
    }

    /**
     * Returns the injected faults.
     *
     * @return The injected faults.
     */
    public Faults faults() {
        return server.faults();
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        server.close();
    }

    /**
     * Adds the routes.
     *
     * @param routes The routes to fill.
     */
    private void addRoutes(StandInServer.Routes routes) {
        routes.get("/records", _context -> records());
        routes.any("/weights/<location>", this::read);
    }

    /**
     * Sends weights to a reader.
     *
     * @param context The request.
     * @param answer The answer to write.
     * @throws IOException If the connection is broken.
     * @throws InterruptedException If the server is stopped in the meantime.
     */
    private void read(Context context, Answer answer) throws IOException, InterruptedException {
        faults().pause();
        if (faults().take(Fault.REFUSALS)) {
            answer.refuse(UNAVAILABLE, "refused");
            return;
        }
        loads.merge(context.pathParam("location"), 1, Integer::sum);
        highestConcurrent.accumulateAndGet(concurrent.incrementAndGet(), Math::max);
        try {
            answer.begin(OK, "application/octet-stream");
            context.res().setContentLengthLong(options.weightBytes);
            for (long left = options.weightBytes; left > 0; left -= CHUNK_BYTES) {
                int length = (int) Math.min(left, CHUNK_BYTES);
                awaitRateLimit(length);
                answer.write(new byte[length]);
            }
            answer.end();
        } finally {
            concurrent.decrementAndGet();
        }
    }

    /**
     * Waits until the rate limit permits a chunk.
     *
     * @param length The length of the chunk in bytes.
     */
    private void awaitRateLimit(int length) {
        long due;
        synchronized (this) {
            due = Math.max(nextChunkAt, System.nanoTime());
            nextChunkAt = due + TimeUnit.SECONDS.toNanos(length) / options.bytesPerSecond;
        }
        while (due - System.nanoTime() > 0) {
            LockSupport.parkNanos(due - System.nanoTime());
        }
    }

    /**
     * Creates the record of the loads.
     *
     * @return The number of loads by location, and the current and highest number of concurrent loads.
     */
    private ObjectNode records() {
        ObjectNode body =
                Json.object().put("concurrent", concurrent.get()).put("highestConcurrent", highestConcurrent.get());
        ObjectNode counts = body.putObject("loads");
        loads.forEach(counts::put);
        return body;
    }
}
