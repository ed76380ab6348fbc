package io.yuccaswitch.command.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.TextNode;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.Schedulers;
import io.yuccaswitch.http.AnswerObserver;
import io.yuccaswitch.http.AnswerValidation;
import java.io.IOException;
import java.net.ConnectException;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import okhttp3.Call;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/** Calls the operator interface of nodes. */
public final class OperatorClient implements AutoCloseable {

    /** The timeout to establish a connection. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    /** The timeout of a complete call. */
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);

    /** The maximum number of concurrent calls. */
    private static final int MAXIMUM_CONCURRENT_CALLS = 16;

    /** The maximum size of an answer in bytes. */
    private static final long MAXIMUM_ANSWER_BYTES = 8L << 20;

    /** The media type of bodies. */
    private static final MediaType JSON = MediaType.get("application/json");

    /** The separator between a scheme and an address. */
    private static final String SCHEME_SEPARATOR = "://";

    /** The client for addresses without TLS, which validates answers. */
    private final OkHttpClient client;

    /** The client for addresses with TLS, whose answers can't be validated before they are decrypted. */
    private final OkHttpClient tlsClient;

    /** Parses and serialises bodies. */
    private final ObjectMapper mapper = new ObjectMapper();

    /** The token that operators present. */
    private final Optional<String> token;

    /**
     * Creates a new client.
     *
     * @param token The token that operators present, or empty if nodes require none.
     */
    public OperatorClient(Optional<String> token) {
        this(token, AnswerObserver.NoOp.INSTANCE);
    }

    /**
     * Creates a new client.
     *
     * @param token The token that operators present, or empty if nodes require none.
     * @param observer Observes answers.
     */
    OperatorClient(Optional<String> token, AnswerObserver observer) {
        this.token = token;
        client = AnswerValidation.addTo(builder(), observer).build();
        tlsClient = builder()
                .dispatcher(client.dispatcher())
                .connectionPool(client.connectionPool())
                .build();
    }

    /**
     * Makes the same call to several nodes.
     *
     * @param nodes The addresses of the nodes by their names.
     * @param call The call.
     * @return The answers in the order of the nodes' names.
     */
    public List<NodeReply> callAll(SortedMap<String, String> nodes, OperatorCall call) {
        return Flowable.fromIterable(nodes.entrySet())
                .flatMap(
                        node -> Single.fromSupplier(() -> call(node.getKey(), node.getValue(), call))
                                .subscribeOn(Schedulers.io())
                                .toFlowable(),
                        MAXIMUM_CONCURRENT_CALLS)
                .toSortedList(Comparator.comparing(NodeReply::node))
                .blockingGet();
    }

    /**
     * Makes a call to a node.
     *
     * @param node The node's name.
     * @param address The operator address of the node.
     * @param call The call.
     * @return The answer.
     */
    public NodeReply call(String node, String address, OperatorCall call) {
        HttpUrl base = HttpUrl.parse(address.contains(SCHEME_SEPARATOR) ? address : "http://" + address);
        if (base == null) {
            return new NodeReply(node, address, ReplyKind.NOT_REACHED, MissingNode.getInstance(), "invalid address");
        }
        HttpUrl.Builder url = base.newBuilder();
        call.path().forEach(url::addPathSegment);
        Request.Builder request = new Request.Builder()
                .url(url.build())
                .method(call.method(), call.body().map(this::body).orElse(null));
        token.ifPresent(presentedToken -> request.header("Authorization", "Bearer " + presentedToken));
        return send(node, address, request.build());
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }

    /**
     * Creates the builder of a client. It follows no redirect from one scheme to the other, for which the other client
     * is needed.
     *
     * @return The builder.
     */
    private static OkHttpClient.Builder builder() {
        return new OkHttpClient.Builder()
                .connectTimeout(CONNECT_TIMEOUT)
                .callTimeout(CALL_TIMEOUT)
                .retryOnConnectionFailure(false)
                .followSslRedirects(false);
    }

    /**
     * Sends a request.
     *
     * @param node The node's name.
     * @param address The node's address.
     * @param request The request.
     * @return The answer.
     */
    private NodeReply send(String node, String address, Request request) {
        Call call = (request.isHttps() ? tlsClient : client).newCall(request);
        try (Response response = call.execute()) {
            if (response.body().source().request(MAXIMUM_ANSWER_BYTES + 1)) {
                call.cancel();
                String reason = "answer exceeds " + MAXIMUM_ANSWER_BYTES + " bytes";
                return new NodeReply(node, address, ReplyKind.NO_ANSWER, MissingNode.getInstance(), reason);
            }
            JsonNode body = parse(response.body().string());
            ReplyKind kind = response.isSuccessful() ? ReplyKind.DONE : ReplyKind.REFUSED;
            return new NodeReply(node, address, kind, body, "HTTP status " + response.code());
        } catch (ConnectException | UnknownHostException e) {
            return new NodeReply(node, address, ReplyKind.NOT_REACHED, MissingNode.getInstance(), e.toString());
        } catch (IOException e) {
            return new NodeReply(node, address, ReplyKind.NO_ANSWER, MissingNode.getInstance(), e.toString());
        }
    }

    /**
     * Parses a body.
     *
     * @param text The body.
     * @return The parsed JSON, or the text itself if it is not JSON.
     */
    private JsonNode parse(String text) {
        try {
            return mapper.readTree(text);
        } catch (JsonProcessingException e) {
            return TextNode.valueOf(text);
        }
    }

    /**
     * Creates the body of a request.
     *
     * @param document The document.
     * @return The body.
     */
    private RequestBody body(Object document) {
        try {
            return RequestBody.create(mapper.writeValueAsBytes(document), JSON);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("Request could not be serialised as JSON", e);
        }
    }
}
