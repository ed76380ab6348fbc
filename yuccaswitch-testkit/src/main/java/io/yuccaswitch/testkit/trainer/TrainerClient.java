package io.yuccaswitch.testkit.trainer;

import com.fasterxml.jackson.databind.JsonNode;
import io.yuccaswitch.testkit.http.Json;
import io.yuccaswitch.testkit.load.CallerClients;
import io.yuccaswitch.testkit.load.EntryAddress;
import io.yuccaswitch.testkit.load.EntryDirectory;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/**
 * Sends a trainer's requests, and sends each again through another address until it is answered. All requests of
 * trainers may be repeated.
 */
final class TrainerClient {

    /** The pause before a request is sent again. */
    private static final long PAUSE_MILLIS = 100;

    /** The content type of JSON. */
    private static final MediaType JSON = MediaType.get("application/json");

    /** The status from which on an answer may differ the next time. */
    private static final int SERVER_ERROR = 500;

    /** The client. */
    private final OkHttpClient client;

    /** The entry addresses. */
    private final EntryDirectory directory;

    /** The options of the trainer. */
    private final TrainerOptions options;

    /** The time at which the trainer gives up, on the monotonic clock. */
    private final long limit;

    /** The number of requests that were sent. */
    private long attempts;

    /** The number of requests that were not answered with success. */
    private long failures;

    /**
     * Creates a new client.
     *
     * @param options The options of the trainer.
     */
    TrainerClient(TrainerOptions options) {
        this.options = options;
        limit = System.nanoTime() + TimeUnit.SECONDS.toNanos(options.limitSeconds);
        client = CallerClients.httpClient()
                .newBuilder()
                .callTimeout(options.timeoutMillis, TimeUnit.MILLISECONDS)
                .build();
        directory = new EntryDirectory(
                client, options.entryAddresses, options.availabilityZone, Optional.ofNullable(options.token));
    }

    /**
     * Sends a request until it is answered.
     *
     * @param action The action, such as {@code pull}.
     * @param body The body.
     * @return The body of the answer.
     * @throws InterruptedException If the thread is interrupted.
     */
    JsonNode post(String action, Object body) throws InterruptedException {
        Set<String> avoided = new HashSet<>();
        while (System.nanoTime() < limit) {
            Optional<EntryAddress> address = directory.pick(avoided);
            if (address.isPresent()) {
                attempts++;
                Optional<JsonNode> answer = exchange(address.get(), action, Json.write(body));
                if (answer.isPresent()) {
                    return answer.get();
                }
                failures++;
                avoided.clear();
                avoided.add(address.get().node());
            }
            Thread.sleep(PAUSE_MILLIS);
        }
        throw new IllegalStateException("No answer to " + action + " within " + options.limitSeconds + " s");
    }

    /**
     * Sends a request once.
     *
     * @param address The address to use.
     * @param action The action.
     * @param body The body.
     * @return The body of the answer, or empty if there was none or it asked to try again.
     */
    private Optional<JsonNode> exchange(EntryAddress address, String action, String body) {
        Request.Builder request = new Request.Builder()
                .url("http://" + address.address() + "/v1/trainers/" + options.trainer + "/" + action)
                .post(RequestBody.create(body, JSON));
        Optional.ofNullable(options.token).ifPresent(token -> request.header("Authorization", "Bearer " + token));
        try (Response response = client.newCall(request.build()).execute()) {
            String text = response.body().string();
            if (response.isSuccessful()) {
                return Optional.of(Json.parse(text.getBytes(java.nio.charset.StandardCharsets.UTF_8)));
            }
            System.err.println("refused action=" + action + " node=" + address.node() + " status=" + response.code()
                    + " body=" + text);
            if (response.code() < SERVER_ERROR) {
                throw new IllegalStateException("Refused for good: " + text);
            }
            return Optional.empty();
        } catch (IOException | UncheckedIOException exception) {
            System.err.println("failed action=" + action + " node=" + address.node() + " error=" + exception);
            return Optional.empty();
        }
    }

    /**
     * Returns the number of requests that were sent.
     *
     * @return The number of requests.
     */
    long attempts() {
        return attempts;
    }

    /**
     * Returns the number of requests that were not answered with success.
     *
     * @return The number of requests.
     */
    long failures() {
        return failures;
    }
}
