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

/** A stand-in of the weight store, whose rate all readers share. Its protocol is described in docs/API.md. */
public final class WeightStoreStandIn implements AutoCloseable {

    /** The status of an answer. */
    private static final int OK = 200;

    /** The status of a refusal. */
    private static final int UNAVAILABLE = 503;

    /** The size of a piece of an answer. */
    private static final int PIECE_SIZE = 16_384;

    /** The options. */
    private final WeightStoreOptions options;

    /** The number of loads by location. */
    private final Map<String, Integer> loads = new ConcurrentHashMap<>();

    /** The number of loads that are going on. */
    private final AtomicInteger concurrent = new AtomicInteger();

    /** The largest number of loads that went on at the same time. */
    private final AtomicInteger highestConcurrent = new AtomicInteger();

    /** The time in nanoseconds at which the rate allows for the next piece. */
    private long nextPieceAt = System.nanoTime();

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
     * Returns the faults that are ordered.
     *
     * @return The faults.
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
     * Gives weights to a reader.
     *
     * @param context The request.
     * @param answer The answer to write.
     * @throws IOException If the connection is broken.
     * @throws InterruptedException If the server is stopped meanwhile.
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
            for (long left = options.weightBytes; left > 0; left -= PIECE_SIZE) {
                int length = (int) Math.min(left, PIECE_SIZE);
                awaitRate(length);
                answer.write(new byte[length]);
            }
            answer.end();
        } finally {
            concurrent.decrementAndGet();
        }
    }

    /**
     * Waits until the rate allows for a piece.
     *
     * @param length The length of the piece.
     */
    private void awaitRate(int length) {
        long due;
        synchronized (this) {
            due = Math.max(nextPieceAt, System.nanoTime());
            nextPieceAt = due + TimeUnit.SECONDS.toNanos(length) / options.bytesPerSecond;
        }
        while (due - System.nanoTime() > 0) {
            LockSupport.parkNanos(due - System.nanoTime());
        }
    }

    /**
     * Makes the record of what was read.
     *
     * @return The numbers of loads by location, and of loads at the same time.
     */
    private ObjectNode records() {
        ObjectNode body =
                Json.object().put("concurrent", concurrent.get()).put("highestConcurrent", highestConcurrent.get());
        ObjectNode counts = body.putObject("loads");
        loads.forEach(counts::put);
        return body;
    }
}
