package io.yuccaswitch.integration.site;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.Optional;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/** Exchanges JSON documents over HTTP. */
public final class Http {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static final OkHttpClient CLIENT =
            new OkHttpClient.Builder().callTimeout(Duration.ofSeconds(5)).build();

    private Http() {}

    /** Returns the document, or empty if the call fails or its status is not a success. */
    public static Optional<JsonNode> get(String address, String path) {
        Request request = new Request.Builder().url("http://" + address + path).build();
        try (Response response = CLIENT.newCall(request).execute()) {
            return response.isSuccessful() ? Optional.of(parse(response.body().string())) : Optional.empty();
        } catch (IOException _exception) {
            return Optional.empty();
        }
    }

    /** Posts a body, and throws an exception if the call fails or its status is not a success. */
    public static JsonNode post(String address, String path, String body) {
        return send(address, path, "POST", body);
    }

    public static JsonNode send(String address, String path, String method, String body) {
        Request request = new Request.Builder()
                .url("http://" + address + path)
                .method(method, RequestBody.create(body, MediaType.get("application/json")))
                .build();
        try (Response response = CLIENT.newCall(request).execute()) {
            String text = response.body().string();
            if (!response.isSuccessful()) {
                throw new IllegalStateException(method + " " + path + ": " + response.code() + " " + text);
            }
            return parse(text);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    public static JsonNode parse(String text) {
        try {
            return text.isBlank() ? MissingNode.getInstance() : MAPPER.readTree(text);
        } catch (IOException _exception) {
            return MissingNode.getInstance();
        }
    }
}
