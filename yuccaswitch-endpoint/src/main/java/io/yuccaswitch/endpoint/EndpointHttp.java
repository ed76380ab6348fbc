package io.yuccaswitch.endpoint;

import com.codahale.metrics.MetricRegistry;
import io.yuccaswitch.core.endpoint.FailureCodes;
import io.yuccaswitch.core.value.Bytes;
import io.yuccaswitch.http.AnswerObserver;
import io.yuccaswitch.http.AnswerValidation;
import java.io.IOException;
import java.net.Proxy;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import okhttp3.Call;
import okhttp3.ConnectionPool;
import okhttp3.ConnectionSpec;
import okhttp3.Dispatcher;
import okhttp3.OkHttpClient;
import okhttp3.Protocol;
import okhttp3.Request;
import okhttp3.Response;

/** The HTTP client that all endpoint clients share. It pools HTTP/1.1 connections and never resends a request. */
public final class EndpointHttp implements AutoCloseable {

    /** The maximum number of concurrent calls, far above the number that the decision core admits. */
    private static final int MAXIMUM_CONCURRENT_CALLS = 4096;

    /** The settings of the clients. */
    private final EndpointClientSettings settings;

    /** The client with pooled connections. */
    private final OkHttpClient client;

    /** The same client without a connection pool. */
    private final OkHttpClient unpooledClient;

    /**
     * Creates a new client.
     *
     * @param settings The settings of the clients.
     * @param metrics The metrics, which count malformed answers and unusable connections.
     */
    public EndpointHttp(EndpointClientSettings settings, MetricRegistry metrics) {
        this.settings = settings;
        Dispatcher dispatcher = new Dispatcher();
        dispatcher.setMaxRequests(MAXIMUM_CONCURRENT_CALLS);
        dispatcher.setMaxRequestsPerHost(MAXIMUM_CONCURRENT_CALLS);
        client = AnswerValidation.addTo(new OkHttpClient.Builder(), new AnswerObserver.Reporting(metrics, "endpoint"))
                .dispatcher(dispatcher)
                .protocols(List.of(Protocol.HTTP_1_1))
                .connectionSpecs(List.of(ConnectionSpec.CLEARTEXT))
                .proxy(Proxy.NO_PROXY)
                .retryOnConnectionFailure(false)
                .followRedirects(false)
                .followSslRedirects(false)
                .connectTimeout(settings.connectTimeout())
                .readTimeout(Duration.ZERO)
                .writeTimeout(Duration.ZERO)
                .connectionPool(new ConnectionPool(
                        settings.idleConnections(),
                        settings.idleConnectionTime().toMillis(),
                        TimeUnit.MILLISECONDS))
                .addNetworkInterceptor(new Transmission.SingleSendInterceptor())
                .build();
        unpooledClient = client.newBuilder()
                .connectionPool(new ConnectionPool(0, 1, TimeUnit.MILLISECONDS))
                .build();
    }

    /**
     * Returns the settings of the clients.
     *
     * @return The settings.
     */
    EndpointClientSettings settings() {
        return settings;
    }

    /**
     * Prepares a call.
     *
     * @param request The request.
     * @param transmission The transmission that tracks the call.
     * @param timeout The timeout of the complete call.
     * @return The call, which has not been started.
     */
    public Call call(Request.Builder request, Transmission transmission, Duration timeout) {
        return call(request, transmission, timeout, ConnectionUse.KEPT);
    }

    /**
     * Prepares a call.
     *
     * @param request The request.
     * @param transmission The transmission that tracks the call.
     * @param timeout The timeout of the complete call.
     * @param connection The kind of connection to use.
     * @return The call, which has not been started.
     */
    public Call call(Request.Builder request, Transmission transmission, Duration timeout, ConnectionUse connection) {
        OkHttpClient selectedClient = connection == ConnectionUse.KEPT ? client : unpooledClient;
        Call call = selectedClient.newCall(request.header("Accept-Encoding", "identity")
                .tag(Transmission.class, transmission)
                .build());
        call.addEventListener(transmission);
        call.timeout().timeout(Math.max(1, timeout.toNanos()), TimeUnit.NANOSECONDS);
        return call;
    }

    /**
     * Reads the complete body of a load report or any other short answer, which the end of the connection may delimit.
     * The call is cancelled if the body is too large, so that the rest of it is not read.
     *
     * @param call The call.
     * @param response The answer.
     * @return The body.
     * @throws IOException If the body is too large or truncated.
     */
    public Bytes readReport(Call call, Response response) throws IOException {
        Optional<Bytes> body = AnswerBody.readToEnd(response, settings.maximumReportBytes());
        if (body.isEmpty()) {
            call.cancel();
            throw new AnswerException(FailureCodes.ANSWER_TOO_LARGE);
        }
        return body.get();
    }

    /**
     * Reads the complete body of a short answer with a length or in chunks. The call is cancelled if the body is too
     * large: the library would otherwise read on for a while when the answer is closed, as fast as the peer sends.
     *
     * @param call The call.
     * @param response The answer.
     * @return The body.
     * @throws IOException If the body is too large or truncated, or if its framing could not reveal truncation.
     */
    Bytes readDelimitedReport(Call call, Response response) throws IOException {
        AnswerBody.requireDelimitedBody(response);
        return readReport(call, response);
    }

    /**
     * Discards the body of an answer, so that its connection can be used again. The connection is closed if the body is
     * too large.
     *
     * @param call The call.
     * @param response The answer.
     */
    public void discard(Call call, Response response) {
        try (response) {
            readReport(call, response);
        } catch (IOException _exception) {
            call.cancel();
        }
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        client.dispatcher().cancelAll();
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }

    /** The kind of connection that a call uses. */
    public enum ConnectionUse {
        /** A pooled connection of an earlier call if one is available. */
        KEPT,
        /** A new connection, which verifies that the endpoint is running before the request is sent. */
        NEW
    }
}
