package io.yuccaswitch.testkit.engine;

import com.fasterxml.jackson.databind.JsonNode;
import io.javalin.http.Context;
import io.yuccaswitch.testkit.http.Answer;
import io.yuccaswitch.testkit.http.Fault;
import io.yuccaswitch.testkit.http.Faults;
import io.yuccaswitch.testkit.http.Json;
import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;

/** Executes orders to load weights. */
final class Orders {

    /** The status of an executed order. */
    private static final int OK = 200;

    /** The status of an order with an outdated fencing number. */
    private static final int CONFLICT = 409;

    /** The status of an order whose weights could not be loaded. */
    private static final int FAILED = 500;

    /** The size of the buffer that weights are read into. */
    private static final int BUFFER_BYTES = 65_536;

    /** The read timeout of the weight store. */
    private static final long WEIGHT_STORE_TIMEOUT_SECONDS = 60;

    /** The options of the engine. */
    private final EngineOptions options;

    /** The weight versions of the engine. */
    private final LoadedModels models;

    /** The injected faults. */
    private final Supplier<Faults> faults;

    /** The client of the weight store. */
    private final OkHttpClient client = new OkHttpClient.Builder()
            .readTimeout(WEIGHT_STORE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
            .build();

    /** The results of the orders, in the order of their completion. */
    private final List<OrderRecord> records = new CopyOnWriteArrayList<>();

    /** The highest fencing number received so far. */
    private long highestFencingNumber;

    /**
     * Creates the order handler of an engine.
     *
     * @param options The options of the engine.
     * @param models The weight versions of the engine.
     * @param faults The injected faults.
     */
    Orders(EngineOptions options, LoadedModels models, Supplier<Faults> faults) {
        this.options = options;
        this.models = models;
        this.faults = faults;
    }

    /**
     * Executes an order.
     *
     * @param context The request.
     * @param answer The answer to write.
     * @throws IOException If the connection is broken.
     * @throws InterruptedException If the server is stopped in the meantime.
     */
    void serve(Context context, Answer answer) throws IOException, InterruptedException {
        faults.get().pause();
        JsonNode body = Json.parse(context.bodyAsBytes());
        Order order = new Order(
                body.path("fencingNumber").asLong(),
                body.path("model").asText(),
                body.path("version").asLong(),
                body.path("location").asText());
        if (!admit(order.fencingNumber())) {
            record(order, "refused");
            answer.refuse(CONFLICT, "old-fencing-number");
            return;
        }
        boolean loaded = load(order.location());
        String result = loaded ? swap(order) : "failed";
        record(order, result);
        if (result.equals("refused")) {
            answer.refuse(CONFLICT, "old-fencing-number");
        } else if (result.equals("failed")) {
            answer.error(FAILED, "load-failed", "yes");
        } else {
            answer.json(OK, Json.object().put("model", order.model()).put("version", order.version()));
        }
    }

    /**
     * Returns the results of the orders.
     *
     * @return The records, in the order of completion.
     */
    List<OrderRecord> records() {
        return records;
    }

    /**
     * Records a fencing number, and checks it if this engine is configured to do so.
     *
     * @param fencingNumber The fencing number of the order.
     * @return {@code true} if the order may proceed.
     */
    private synchronized boolean admit(long fencingNumber) {
        boolean outdated = fencingNumber < highestFencingNumber;
        highestFencingNumber = Math.max(highestFencingNumber, fencingNumber);
        return !outdated || !options.checkFencing;
    }

    /**
     * Loads weights from the store.
     *
     * @param location The location of the weights in the store.
     * @return {@code true} if all bytes were received.
     */
    private boolean load(String location) {
        if (options.weightStore.isEmpty()) {
            return true;
        }
        Request request = new Request.Builder()
                .url("http://" + options.weightStore + "/weights/" + location)
                .build();
        try (Response response = client.newCall(request).execute()) {
            InputStream stream = response.body().byteStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (stream.read(buffer) >= 0) {
                // The stand-in discards the weights.
            }
            return response.isSuccessful();
        } catch (IOException _exception) {
            return false;
        }
    }

    /**
     * Swaps in the loaded weights.
     *
     * @param order The order.
     * @return The result to record.
     * @throws InterruptedException If the server is stopped in the meantime.
     */
    private String swap(Order order) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(options.swapMillis);
        if (!admit(order.fencingNumber())) {
            return "refused";
        }
        if (faults.get().take(Fault.SWAP_FAILURES)) {
            return "failed";
        }
        if (faults.get().take(Fault.SWAP_CLAIMS)) {
            return "claimed";
        }
        if (faults.get().take(Fault.SWAP_LOAD_CLAIMS)) {
            models.claim(order.model(), order.version());
            return "claimed";
        }
        models.install(order.model(), order.version());
        return "installed";
    }

    /**
     * Records the result of an order.
     *
     * @param order The order.
     * @param result The result.
     */
    private void record(Order order, String result) {
        records.add(new OrderRecord(
                order.fencingNumber(), order.model(), order.version(), result, System.currentTimeMillis()));
    }

    /**
     * An order.
     *
     * @param fencingNumber The fencing number of its sender.
     * @param model The model or adapter.
     * @param version The version to load.
     * @param location The location of the weights in the store.
     */
    private record Order(long fencingNumber, String model, long version, String location) {}

    /**
     * The result of an order.
     *
     * @param fencingNumber The fencing number of its sender.
     * @param model The model or adapter.
     * @param version The version to load.
     * @param result The result: installed, claimed, failed or refused.
     * @param atMillis The time of completion in milliseconds since the epoch.
     */
    record OrderRecord(long fencingNumber, String model, long version, String result, long atMillis) {}
}
