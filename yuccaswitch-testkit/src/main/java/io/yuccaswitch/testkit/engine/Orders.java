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

/** Carries out orders to load weights. */
final class Orders {

    /** The status of an order that was carried out. */
    private static final int OK = 200;

    /** The status of an order with an old fencing number. */
    private static final int CONFLICT = 409;

    /** The status of an order whose weights could not be loaded. */
    private static final int FAILED = 500;

    /** The size of the buffer that weights are read into. */
    private static final int BUFFER_SIZE = 65_536;

    /** The time after which a silent weight store is given up. */
    private static final long STORE_TIMEOUT_SECONDS = 60;

    /** The options of the engine. */
    private final EngineOptions options;

    /** The weight versions of the engine. */
    private final LoadedModels models;

    /** The faults that are ordered. */
    private final Supplier<Faults> faults;

    /** The client of the weight store. */
    private final OkHttpClient client = new OkHttpClient.Builder()
            .readTimeout(STORE_TIMEOUT_SECONDS, TimeUnit.SECONDS)
            .build();

    /** What became of the orders, in the order of their ends. */
    private final List<OrderRecord> records = new CopyOnWriteArrayList<>();

    /** The highest fencing number that was seen. */
    private long highestFencingNumber;

    /**
     * Creates the orders of an engine.
     *
     * @param options The options of the engine.
     * @param models The weight versions of the engine.
     * @param faults The faults that are ordered.
     */
    Orders(EngineOptions options, LoadedModels models, Supplier<Faults> faults) {
        this.options = options;
        this.models = models;
        this.faults = faults;
    }

    /**
     * Carries out an order.
     *
     * @param context The request.
     * @param answer The answer to write.
     * @throws IOException If the connection is broken.
     * @throws InterruptedException If the server is stopped meanwhile.
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
     * Returns what became of the orders.
     *
     * @return The records, in the order of their ends.
     */
    List<OrderRecord> records() {
        return records;
    }

    /**
     * Checks a fencing number, if this engine does.
     *
     * @param fencingNumber The fencing number of the order.
     * @return {@code true} if the order may go on.
     */
    private synchronized boolean admit(long fencingNumber) {
        boolean old = fencingNumber < highestFencingNumber;
        highestFencingNumber = Math.max(highestFencingNumber, fencingNumber);
        return !old || !options.checkFencing;
    }

    /**
     * Loads weights from the store.
     *
     * @param location The place of the weights.
     * @return {@code true} if all bytes came.
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
            byte[] buffer = new byte[BUFFER_SIZE];
            while (stream.read(buffer) >= 0) {
                // The weights are of no use to a stand-in.
            }
            return response.isSuccessful();
        } catch (IOException _exception) {
            return false;
        }
    }

    /**
     * Swaps the loaded weights in.
     *
     * @param order The order.
     * @return The result for the records.
     * @throws InterruptedException If the server is stopped meanwhile.
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
     * Records what became of an order.
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
     * @param location The place of the weights.
     */
    private record Order(long fencingNumber, String model, long version, String location) {}

    /**
     * What became of an order.
     *
     * @param fencingNumber The fencing number of its sender.
     * @param model The model or adapter.
     * @param version The version to load.
     * @param result What became of it: installed, claimed, failed or refused.
     * @param atMillis The time of its end, since the epoch.
     */
    record OrderRecord(long fencingNumber, String model, long version, String result, long atMillis) {}
}
