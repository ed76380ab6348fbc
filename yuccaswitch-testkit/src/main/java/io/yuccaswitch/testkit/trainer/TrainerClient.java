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
 * Sends the requests of a trainer, and retries each through another address until it succeeds. All requests of trainers
 * may be repeated.
 */
final class TrainerClient {

    /** The delay before a request is retried. */
    private static final long RETRY_DELAY_MILLIS = 100;

    /** The content type of JSON. */
    private static final MediaType JSON = MediaType.get("application/json");

    /** The lowest status after which a request is retried. */
    private static final int SERVER_ERROR = 500;

    /** The client. */
    private final OkHttpClient client;

    /** The entry addresses. */
    private final EntryDirectory directory;

    /** The options of the trainer. */
    private final TrainerOptions options;

    /** The time at which the trainer times out, in nanoseconds of the monotonic clock. */
    private final long deadlineNanos;

    /** The number of sent requests. */
    private long attempts;

    /** The number of failed requests. */
    private long failures;

    /**
     * Creates a new client.
     *
     * @param options The options of the trainer.
     */
    TrainerClient(TrainerOptions options) {
        this.options = options;
        deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(options.limitSeconds);
        client = CallerClients.httpClient()
                .newBuilder()
                .callTimeout(options.timeoutMillis, TimeUnit.MILLISECONDS)
                .build();
        directory = new EntryDirectory(
                client, options.entryAddresses, options.availabilityZone, Optional.ofNullable(options.token));
    }

    /**
     * Sends a request until it succeeds.
     *
     * @param action The action, such as {@code pull}.
     * @param body The body.
     * @return The body of the answer.
     * @throws InterruptedException If the thread is interrupted.
     */
    JsonNode post(String action, Object body) throws InterruptedException {
        Set<String> avoidedNodes = new HashSet<>();
        while (System.nanoTime() < deadlineNanos) {
            Optional<EntryAddress> address = directory.pick(avoidedNodes);
            if (address.isPresent()) {
                attempts++;
                Optional<JsonNode> answer = exchange(address.get(), action, Json.write(body));
                if (answer.isPresent()) {
                    return answer.get();
                }
                failures++;
                avoidedNodes.clear();
                avoidedNodes.add(address.get().node());
            }
            Thread.sleep(RETRY_DELAY_MILLIS);
        }
        throw new IllegalStateException("No answer to " + action + " within " + options.limitSeconds + " s");
    }

    /**
     * Sends a request once.
     *
     * @param address The address to use.
     * @param action The action.
     * @param body The body.
     * @return The body of the answer, or empty if the request failed and may be retried.
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
                throw new IllegalStateException("Request refused permanently: " + text);
            }
            return Optional.empty();
        } catch (IOException | UncheckedIOException exception) {
            System.err.println("failed action=" + action + " node=" + address.node() + " error=" + exception);
            return Optional.empty();
        }
    }

    /**
     * Returns the number of sent requests.
     *
     * @return The number of requests.
     */
    long attempts() {
        return attempts;
    }

    /**
     * Returns the number of failed requests.
     *
     * @return The number of requests.
     */
    long failures() {
        return failures;
    }
}
